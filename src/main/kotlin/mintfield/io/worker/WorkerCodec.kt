package mintfield.io.worker

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import mintfield.core.model.ExitReason
import mintfield.core.model.Heartbeat
import mintfield.core.model.TaskId
import mintfield.core.model.TaskState
import mintfield.core.model.TaskStatus
import mintfield.core.model.WorkerCommand
import mintfield.io.json.Json
import java.util.Arrays

/** Reports and orders in the wire's words. Reports are the most frequent messages, so they are read as a stream. */
object WorkerCodec {
    /** What a heartbeat said of its tasks: the bytes from there to its end, and what they meant. */
    private class CachedTasks(
        val body: ByteArray,
        val from: Int,
        val tasks: List<TaskStatus>,
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
        private val cache =
            object : LinkedHashMap<String, CachedTasks>(64, 0.75f, true) {
                override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, CachedTasks>) = size > most
            }

        fun heartbeat(bytes: ByteArray): Heartbeat? = parse(bytes, cache)
    }

    fun heartbeat(bytes: ByteArray): Heartbeat? = parse(bytes, null)

    private fun parse(
        bytes: ByteArray,
        cache: MutableMap<String, CachedTasks>?,
    ): Heartbeat? =
        try {
            Json.factory.createParser(bytes).use { p -> if (p.nextToken() == JsonToken.START_OBJECT) heartbeat(p, bytes, cache) else null }
        } catch (_: JsonProcessingException) {
            null
        }

    private fun heartbeat(
        p: JsonParser,
        bytes: ByteArray,
        cache: MutableMap<String, CachedTasks>?,
    ): Heartbeat? {
        var machine: String? = null
        var address = ""
        var type = ""
        var zone = ""
        var spot = false
        var incarnation = -1L
        var sequence = -1L
        var term = 0L
        var notice: Double? = null
        var tasks: List<TaskStatus> = emptyList()
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
                "season" -> incarnation = p.valueAsLong
                "tally" -> sequence = p.valueAsLong
                "staff" -> term = p.valueAsLong
                "reclaimS" -> notice = if (token == JsonToken.VALUE_NULL) null else p.valueAsDouble
                "pieces" ->
                    if (token == JsonToken.START_ARRAY) {
                        val at = p.currentTokenLocation().byteOffset.toInt()
                        val before = machine?.let { cache?.get(it) }
                        if (before != null && before.again(bytes, at)) {
                            tasks = before.tasks
                            break
                        }
                        tasks = tasks(p)
                        next = p.nextToken()
                        // Only if nothing follows does the rest of the bytes tell all that has not been read.
                        if (next == JsonToken.END_OBJECT && cache != null) machine?.let { cache[it] = CachedTasks(bytes, at, tasks) }
                    } else {
                        p.skipChildren()
                    }
                else -> p.skipChildren()
            }
            next = next ?: p.nextToken()
        }
        if (machine == null || incarnation < 0 || sequence < 0) return null
        return Heartbeat(machine, address, type, zone, spot, incarnation, sequence, term, notice, tasks)
    }

    private fun tasks(p: JsonParser): List<TaskStatus> {
        val list = ArrayList<TaskStatus>()
        while (p.nextToken() == JsonToken.START_OBJECT) {
            var task: TaskId? = null
            var attempt = 0L
            var state = TaskState.RUNNING
            var cause: ExitReason? = null
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
            task?.let { list.add(TaskStatus(it, attempt, state, cause)) }
        }
        return list
    }

    private fun state(word: String?) =
        when (word) {
            "pulling", "gathering" -> TaskState.PULLING
            "saving" -> TaskState.CHECKPOINTING
            "ended" -> TaskState.ENDED
            else -> TaskState.RUNNING
        }

    private fun cause(word: String?) =
        when (word) {
            null -> null
            "done" -> ExitReason.DONE
            "stopped" -> ExitReason.STOPPED
            "error" -> ExitReason.ERROR
            "no_room" -> ExitReason.INSUFFICIENT_RESOURCES
            "in_use" -> ExitReason.ALREADY_RUNNING
            "no_such" -> ExitReason.UNKNOWN_TASK
            "mates_gone", "incomplete" -> ExitReason.GANG_INCOMPLETE
            else -> ExitReason.UNKNOWN
        }

    fun commands(
        term: Long,
        incarnation: Long?,
        commands: List<WorkerCommand>,
    ): ByteArray =
        Json.obj {
            writeNumberField("staff", term)
            incarnation?.let { writeNumberField("season", it) }
            writeArrayFieldStart("orders")
            commands.forEach { command(this, it) }
            writeEndArray()
        }

    private fun command(
        g: JsonGenerator,
        command: WorkerCommand,
    ) {
        g.writeStartObject()
        g.writeStringField(
            "verb",
            when (command) {
                is WorkerCommand.Start -> "run"
                is WorkerCommand.Stop -> "halt"
                is WorkerCommand.Acknowledge -> "clear"
            },
        )
        g.writeStringField("piece", command.task.toString())
        g.writeNumberField("sowing", command.attempt)
        if (command is WorkerCommand.Stop) g.writeNumberField("graceS", command.graceS)
        g.writeEndObject()
    }
}
