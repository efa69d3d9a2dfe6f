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
import java.util.Arrays

/** Reports and orders in the wire's words. Reports are the most frequent messages, so they are read as a stream. */
object WorkerCodec {
    /** What a report said of its tasks: the bytes from there to its end, and what they meant. */
    private class Said(
        val body: ByteArray,
        val from: Int,
        val tasks: List<ReportedTask>,
    ) {
        fun again(
            bytes: ByteArray,
            at: Int,
        ) = Arrays.equals(bytes, at, bytes.size, body, from, body.size)
    }

    /**
     * Reads reports, and remembers each machine's last list of tasks: most reports bring the same one again, to the
     * byte, and then it is neither parsed nor, being the same object, looked at again.
     */
    class Reader(
        /** Machines remembered: at least as many as can report here. */
        private val most: Int,
    ) {
        private val said =
            object : LinkedHashMap<String, Said>(64, 0.75f, true) {
                override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Said>) = size > most
            }

        fun report(bytes: ByteArray): Report? = parse(bytes, said)
    }

    fun report(bytes: ByteArray): Report? = parse(bytes, null)

    private fun parse(
        bytes: ByteArray,
        said: MutableMap<String, Said>?,
    ): Report? =
        try {
            Json.factory.createParser(bytes).use { p -> if (p.nextToken() == JsonToken.START_OBJECT) report(p, bytes, said) else null }
        } catch (_: JsonProcessingException) {
            null
        }

    private fun report(
        p: JsonParser,
        bytes: ByteArray,
        said: MutableMap<String, Said>?,
    ): Report? {
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
        var next = p.nextToken()
        while (next == JsonToken.FIELD_NAME) {
            val field = p.currentName()
            val token = p.nextToken()
            next = null
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
                "pieces" ->
                    if (token == JsonToken.START_ARRAY) {
                        val at = p.currentTokenLocation().byteOffset.toInt()
                        val before = machine?.let { said?.get(it) }
                        if (before != null && before.again(bytes, at)) {
                            tasks = before.tasks
                            break
                        }
                        tasks = tasks(p)
                        next = p.nextToken()
                        // Only if nothing follows does the rest of the bytes tell all that has not been read.
                        if (next == JsonToken.END_OBJECT && said != null) machine?.let { said[it] = Said(bytes, at, tasks) }
                    } else {
                        p.skipChildren()
                    }
                else -> p.skipChildren()
            }
            next = next ?: p.nextToken()
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
