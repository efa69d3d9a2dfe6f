package mintfield.io.worker

import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import mintfield.core.model.ExitReason
import mintfield.core.model.Heartbeat
import mintfield.core.model.TaskId
import mintfield.core.model.TaskState
import mintfield.core.model.TaskStatus
import mintfield.io.json.Json

/**
 * Decoder of heartbeats. They are by far the most frequent messages, so they are parsed as a stream, without a tree and without any
 * object besides the result. Unknown fields are ignored; an unknown state or exit reason is mapped to the most cautious known one.
 */
object HeartbeatCodec {
    private const val MACHINE = "plot"
    private const val ADDRESS = "address"
    private const val TYPE = "breed"
    private const val ZONE = "field"
    private const val SPOT = "gleaning"
    private const val INCARNATION = "season"
    private const val SEQUENCE = "tally"
    private const val TERM_SEEN = "staff"

    /** Seconds until the cloud terminates the machine; null without a termination notice. */
    private const val TERMINATION_NOTICE_S = "reclaimS"
    private const val TASKS = "pieces"
    private const val TASK = "piece"
    private const val ATTEMPT = "sowing"
    private const val STATE = "stage"
    private const val EXIT_REASON = "cause"

    private const val STATE_PULLING = "pulling"

    /** State of a gang task whose image is present and which waits for the other tasks of its gang. */
    private const val STATE_WAITING_FOR_GANG = "gathering"
    private const val STATE_CHECKPOINTING = "saving"
    private const val STATE_ENDED = "ended"

    private const val REASON_DONE = "done"
    private const val REASON_STOPPED = "stopped"
    private const val REASON_ERROR = "error"
    private const val REASON_INSUFFICIENT_RESOURCES = "no_room"
    private const val REASON_ALREADY_RUNNING = "in_use"
    private const val REASON_UNKNOWN_TASK = "no_such"
    private const val REASON_GANG_MEMBERS_LOST = "mates_gone"
    private const val REASON_GANG_INCOMPLETE = "incomplete"

    /** Initial value of a number, which remains if the heartbeat does not have the field. */
    private const val MISSING = -1L

    /** Position of a task list that must not be cached. */
    private const val NOT_CACHEABLE = -1

    /** Decodes [bytes]; null if they are not a JSON object or lack the machine, the incarnation or the sequence. */
    fun decode(bytes: ByteArray): Heartbeat? = decode(bytes, null)

    /** Decodes [bytes]; null if they are invalid. A task list that is in [cache] is not parsed again. */
    internal fun decode(
        bytes: ByteArray,
        cache: TaskListCache?,
    ): Heartbeat? =
        try {
            Json.factory.createParser(bytes).use { parser -> if (parser.nextToken() == JsonToken.START_OBJECT) read(parser, bytes, cache) else null }
        } catch (_: JsonProcessingException) {
            null
        }

    /** Reads the fields into local variables: a builder would be one more allocation per heartbeat. */
    private fun read(
        parser: JsonParser,
        bytes: ByteArray,
        cache: TaskListCache?,
    ): Heartbeat? {
        var machine: String? = null
        var address = ""
        var type = ""
        var zone = ""
        var spot = false
        var incarnation = MISSING
        var sequence = MISSING
        var termSeen = 0L
        var terminationNoticeS: Double? = null
        var tasks: List<TaskStatus> = emptyList()
        var cacheableFrom = NOT_CACHEABLE
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            val field = parser.currentName()
            val token = parser.nextToken()
            if (token == JsonToken.START_ARRAY && field == TASKS) {
                cacheableFrom = parser.currentTokenLocation().byteOffset.toInt()
                val cached = cache?.find(machine, bytes, cacheableFrom)
                tasks = cached ?: readTasks(parser)
                // The remaining bytes equal those of an earlier heartbeat, in which no field followed the tasks.
                if (cached != null) break
                continue
            }
            cacheableFrom = NOT_CACHEABLE
            when (field) {
                MACHINE -> machine = parser.valueAsString
                ADDRESS -> address = readText(parser)
                TYPE -> type = readText(parser)
                ZONE -> zone = readText(parser)
                SPOT -> spot = parser.valueAsBoolean
                INCARNATION -> incarnation = parser.valueAsLong
                SEQUENCE -> sequence = parser.valueAsLong
                TERM_SEEN -> termSeen = parser.valueAsLong
                TERMINATION_NOTICE_S -> terminationNoticeS = readNumberOrNull(parser, token)
                else -> parser.skipChildren()
            }
        }
        if (parser.currentToken() == JsonToken.END_OBJECT && cacheableFrom != NOT_CACHEABLE) cache?.store(machine, bytes, cacheableFrom, tasks)
        if (machine == null || incarnation < 0 || sequence < 0) return null
        return Heartbeat(machine, address, type, zone, spot, incarnation, sequence, termSeen, terminationNoticeS, tasks)
    }

    private fun readText(parser: JsonParser): String = parser.valueAsString ?: ""

    private fun readNumberOrNull(
        parser: JsonParser,
        token: JsonToken?,
    ): Double? = if (token == JsonToken.VALUE_NULL) null else parser.valueAsDouble

    private fun readTasks(parser: JsonParser): List<TaskStatus> {
        val tasks = ArrayList<TaskStatus>()
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            readTask(parser)?.let { tasks.add(it) }
        }
        return tasks
    }

    private fun readTask(parser: JsonParser): TaskStatus? {
        var task: TaskId? = null
        var attempt = 0L
        var state = TaskState.RUNNING
        var cause: ExitReason? = null
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            val field = parser.currentName()
            parser.nextToken()
            when (field) {
                TASK -> task = TaskId.parse(readText(parser))
                ATTEMPT -> attempt = parser.valueAsLong
                STATE -> state = stateOf(parser.valueAsString)
                EXIT_REASON -> cause = exitReasonOf(parser.valueAsString)
                else -> parser.skipChildren()
            }
        }
        return task?.let { TaskStatus(it, attempt, state, cause) }
    }

    private fun stateOf(word: String?): TaskState =
        when (word) {
            STATE_PULLING, STATE_WAITING_FOR_GANG -> TaskState.PULLING
            STATE_CHECKPOINTING -> TaskState.CHECKPOINTING
            STATE_ENDED -> TaskState.ENDED
            else -> TaskState.RUNNING
        }

    private fun exitReasonOf(word: String?): ExitReason? =
        when (word) {
            null -> null
            REASON_DONE -> ExitReason.DONE
            REASON_STOPPED -> ExitReason.STOPPED
            REASON_ERROR -> ExitReason.ERROR
            REASON_INSUFFICIENT_RESOURCES -> ExitReason.INSUFFICIENT_RESOURCES
            REASON_ALREADY_RUNNING -> ExitReason.ALREADY_RUNNING
            REASON_UNKNOWN_TASK -> ExitReason.UNKNOWN_TASK
            REASON_GANG_MEMBERS_LOST, REASON_GANG_INCOMPLETE -> ExitReason.GANG_INCOMPLETE
            else -> ExitReason.UNKNOWN
        }
}
