package mintfield.core.jobs

import mintfield.core.model.WorkerCommand

/**
 * The commands that answer one heartbeat, sorted by what they do.
 *
 * A worker executes commands in order. Stops come first, then acknowledgements, then starts, so that a start finds the resources
 * that a stop has freed.
 */
internal class PlannedCommands {
    private val stops = ArrayList<WorkerCommand.Stop>()
    private val acknowledgements = ArrayList<WorkerCommand.Acknowledge>()
    private val starts = ArrayList<WorkerCommand.Start>()

    /** Whether there is nothing to command. */
    val isEmpty: Boolean get() = stops.isEmpty() && acknowledgements.isEmpty() && starts.isEmpty()

    /** Adds [command] to those of its kind. */
    fun add(command: WorkerCommand) {
        when (command) {
            is WorkerCommand.Stop -> stops.add(command)
            is WorkerCommand.Acknowledge -> acknowledgements.add(command)
            is WorkerCommand.Start -> starts.add(command)
        }
    }

    /** All commands in the order of their execution. Those beyond [MAX_COMMANDS] are left for the next heartbeat. */
    fun inOrder(): List<WorkerCommand> = (stops + acknowledgements + starts).take(MAX_COMMANDS)

    private companion object {
        /** Commands in one response, which keeps its line within the protocol's limit of 64 KiB. */
        const val MAX_COMMANDS = 500
    }
}
