package mintfield.io.worker

import com.fasterxml.jackson.core.JsonGenerator
import mintfield.core.model.WorkerCommand
import mintfield.io.json.Json

/** Encoder of commands to a worker, for the body of the response to its heartbeat or of a direct call. */
object CommandCodec {
    private const val TERM = "staff"
    private const val INCARNATION = "season"
    private const val COMMANDS = "orders"
    private const val VERB = "verb"
    private const val TASK = "piece"
    private const val ATTEMPT = "sowing"

    /** Seconds in which a task may save a checkpoint before it is stopped. */
    private const val GRACE_S = "graceS"
    private const val VERB_START = "run"
    private const val VERB_STOP = "halt"
    private const val VERB_ACKNOWLEDGE = "clear"

    /** Encodes [commands] with the fencing token [term]. A direct call also has the [incarnation] of the worker; otherwise it is null. */
    fun encode(
        term: Long,
        incarnation: Long?,
        commands: List<WorkerCommand>,
    ): ByteArray =
        Json.obj {
            writeNumberField(TERM, term)
            incarnation?.let { writeNumberField(INCARNATION, it) }
            writeArrayFieldStart(COMMANDS)
            commands.forEach { write(this, it) }
            writeEndArray()
        }

    private fun write(
        to: JsonGenerator,
        command: WorkerCommand,
    ) {
        to.writeStartObject()
        to.writeStringField(VERB, verb(command))
        to.writeStringField(TASK, command.task.toString())
        to.writeNumberField(ATTEMPT, command.attempt)
        if (command is WorkerCommand.Stop) to.writeNumberField(GRACE_S, command.graceS)
        to.writeEndObject()
    }

    private fun verb(command: WorkerCommand): String =
        when (command) {
            is WorkerCommand.Start -> VERB_START
            is WorkerCommand.Stop -> VERB_STOP
            is WorkerCommand.Acknowledge -> VERB_ACKNOWLEDGE
        }
}
