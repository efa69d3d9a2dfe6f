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
 * The worker's side of the protocol between workers and controllers. It is written apart from the program's codecs, which are
 * tested against it, so its words stand here as strings.
 */
internal object WorkerWire {
    /** Path to which heartbeats are sent. */
    const val HEARTBEAT_PATH = "/checkin"

    private val STATE_WORDS =
        mapOf(
            TaskState.PULLING to "pulling",
            TaskState.RUNNING to "running",
            TaskState.CHECKPOINTING to "saving",
            TaskState.ENDED to "ended",
        )
    private val EXIT_REASON_WORDS =
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

    /** The fencing token of an answer or a direct command. */
    fun token(body: Map<String, Any?>): Long = body.long("staff")!!

    /** The incarnation to which a direct command is addressed. */
    fun incarnation(body: Map<String, Any?>): Long? = body.long("season")

    /** Name of the controller to which a worker is redirected; null if none is named. */
    fun redirect(body: Map<String, Any?>): String? = body.string("steward")

    /** The commands in an answer or a direct command. */
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

    /** Writes [heartbeat] of a worker that takes direct commands at [address]. */
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
                writeStringField("stage", STATE_WORDS.getValue(status.state))
                status.cause?.let { writeStringField("cause", EXIT_REASON_WORDS.getValue(it)) }
                writeEndObject()
            }
            writeEndArray()
        }
}
