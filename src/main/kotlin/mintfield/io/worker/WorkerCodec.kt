package mintfield.io.worker

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import mintfield.core.model.EndCause
import mintfield.core.model.Order
import mintfield.core.model.Report
import mintfield.core.model.ReportedState
import mintfield.core.model.ReportedTask
import mintfield.core.model.TaskId
import mintfield.io.json.Json

/** Reports and orders in the wire's words. Reports are the most frequent messages, so they are read as a stream. */
object WorkerCodec {
    fun report(bytes: ByteArray): Report? =
        try {
            Json.factory.createParser(bytes).use { p -> if (p.nextToken() == JsonToken.START_OBJECT) report(p) else null }
        } catch (_: JsonProcessingException) {
            null
        }

    private fun report(p: JsonParser): Report? {
        var machine: String? = null
        var address = ""
        var type = ""
        var zone = ""
        var spot = false
        var season = -1L
        var tally = -1L
        var term = 0L
        var notice: Double? = null
        var tasks: List<ReportedTask> = emptyList()
        while (p.nextToken() == JsonToken.FIELD_NAME) {
            val field = p.currentName()
            val token = p.nextToken()
            when (field) {
                "plot" -> machine = p.valueAsString
                "address" -> address = p.valueAsString ?: ""
                "breed" -> type = p.valueAsString ?: ""
                "field" -> zone = p.valueAsString ?: ""
                "gleaning" -> spot = p.valueAsBoolean
                "season" -> season = p.valueAsLong
                "tally" -> tally = p.valueAsLong
                "staff" -> term = p.valueAsLong
                "reclaimS" -> notice = if (token == JsonToken.VALUE_NULL) null else p.valueAsDouble
                "pieces" -> if (token == JsonToken.START_ARRAY) tasks = tasks(p) else p.skipChildren()
                else -> p.skipChildren()
            }
        }
        if (machine == null || season < 0 || tally < 0) return null
        return Report(machine, address, type, zone, spot, season, tally, term, notice, tasks)
    }

    private fun tasks(p: JsonParser): List<ReportedTask> {
        val list = ArrayList<ReportedTask>()
        while (p.nextToken() == JsonToken.START_OBJECT) {
            var task: TaskId? = null
            var attempt = 0L
            var state = ReportedState.RUNNING
            var cause: EndCause? = null
            while (p.nextToken() == JsonToken.FIELD_NAME) {
                val field = p.currentName()
                p.nextToken()
                when (field) {
                    "piece" -> task = TaskId.parse(p.valueAsString ?: "")
                    "sowing" -> attempt = p.valueAsLong
                    "stage" -> state = state(p.valueAsString)
                    "cause" -> cause = cause(p.valueAsString)
                    else -> p.skipChildren()
                }
            }
            task?.let { list.add(ReportedTask(it, attempt, state, cause)) }
        }
        return list
    }

    private fun state(word: String?) =
        when (word) {
            "pulling", "gathering" -> ReportedState.PULLING
            "saving" -> ReportedState.SAVING
            "ended" -> ReportedState.ENDED
            else -> ReportedState.RUNNING
        }

    private fun cause(word: String?) =
        when (word) {
            null -> null
            "done" -> EndCause.DONE
            "stopped" -> EndCause.STOPPED
            "error" -> EndCause.ERROR
            "no_room" -> EndCause.NO_ROOM
            "in_use" -> EndCause.IN_USE
            "no_such" -> EndCause.NO_SUCH
            "mates_gone", "incomplete" -> EndCause.PEERS
            else -> EndCause.UNKNOWN
        }

    fun orders(
        term: Long,
        season: Long?,
        orders: List<Order>,
    ): ByteArray =
        Json.obj {
            writeNumberField("staff", term)
            season?.let { writeNumberField("season", it) }
            writeArrayFieldStart("orders")
            orders.forEach { order(this, it) }
            writeEndArray()
        }

    private fun order(
        g: JsonGenerator,
        order: Order,
    ) {
        g.writeStartObject()
        g.writeStringField(
            "verb",
            when (order) {
                is Order.Run -> "run"
                is Order.Halt -> "halt"
                is Order.Clear -> "clear"
            },
        )
        g.writeStringField("piece", order.task.toString())
        g.writeNumberField("sowing", order.attempt)
        if (order is Order.Halt) g.writeNumberField("graceS", order.graceS)
        g.writeEndObject()
    }
}
