package mintfield.loopback

import mintfield.core.model.ExitReason
import mintfield.core.model.Heartbeat
import mintfield.core.model.TaskId
import mintfield.core.model.TaskState
import mintfield.core.model.WorkerCommand
import mintfield.io.json.Json
import mintfield.io.json.asList
import mintfield.io.json.asMap
import mintfield.io.json.long
import mintfield.io.json.string

/**
 * Worker side of the protocol between workers and controllers. It is independent of the program's codecs, which are tested against
 * it, and therefore spells out the field names and values of the protocol.
 */
internal object WorkerProtocolCodec {
    /** Path of heartbeat requests. */
    const val HEARTBEAT_PATH = "/checkin"

    private val STATE_VALUES =
        mapOf(
            TaskState.PULLING to "pulling",
            TaskState.RUNNING to "running",
            TaskState.CHECKPOINTING to "saving",
            TaskState.ENDED to "ended",
        )
    private val EXIT_REASON_VALUES =
        mapOf(
            ExitReason.DONE to "done",
            ExitReason.STOPPED to "stopped",
            ExitReason.ERROR to "error",
            ExitReason.INSUFFICIENT_RESOURCES to "no_room",
            ExitReason.ALREADY_RUNNING to "in_use",
            ExitReason.UNKNOWN_TASK to "no_such",
            ExitReason.GANG_INCOMPLETE to "mates_gone",
            ExitReason.UNKNOWN to "unknown",
        )

    /** Returns the fencing token of a heartbeat response or a direct command. */
    fun token(body: Map<String, Any?>): Long = body.long("staff")!!

    /** Returns the incarnation to which a direct command is addressed; null if absent. */
    fun incarnation(body: Map<String, Any?>): Long? = body.long("season")

    /** Returns the name of the controller to which a response redirects the worker; null if absent. */
    fun redirect(body: Map<String, Any?>): String? = body.string("steward")

    /** Returns the commands of a heartbeat response or a direct command. */
    fun commands(body: Map<String, Any?>): List<WorkerCommand> = body["orders"].asList().orEmpty().map { command(it.asMap()!!) }

    private fun command(body: Map<String, Any?>): WorkerCommand {
        val task = TaskId.parse(body.string("piece")!!)!!
        val attempt = body.long("sowing")!!
        return when (body.string("verb")) {
            "run" -> WorkerCommand.Start(task, attempt)
            "halt" -> WorkerCommand.Stop(task, attempt, 0.0)
            else -> WorkerCommand.Acknowledge(task, attempt)
        }
    }

    /** Encodes [heartbeat] of a worker that accepts direct commands at [address]. */
    fun encode(
        heartbeat: Heartbeat,
        address: String,
    ): ByteArray =
        Json.obj {
            writeStringField("plot", heartbeat.machine)
            writeStringField("address", address)
            writeStringField("breed", heartbeat.type)
            writeStringField("field", heartbeat.zone)
            writeBooleanField("gleaning", heartbeat.spot)
            writeNumberField("season", heartbeat.incarnation)
            writeNumberField("tally", heartbeat.sequence)
            writeNumberField("staff", heartbeat.termSeen)
            writeArrayFieldStart("pieces")
            for (status in heartbeat.tasks) {
                writeStartObject()
                writeStringField("piece", status.task.toString())
                writeNumberField("sowing", status.attempt)
                writeStringField("stage", STATE_VALUES.getValue(status.state))
                status.cause?.let { writeStringField("cause", EXIT_REASON_VALUES.getValue(it)) }
                writeEndObject()
            }
            writeEndArray()
        }
}
