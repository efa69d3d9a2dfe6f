package mintfield.core.jobs

import mintfield.core.model.WorkerCommand

/**
 * The commands for one worker, sorted by kind.
 *
 * A worker executes commands in order. Stops come first, then acknowledgements, then starts, so that resources freed by a stop are
 * available to a start.
 */
internal class PlannedCommands {
    private val stops = ArrayList<WorkerCommand.Stop>()
    private val acknowledgements = ArrayList<WorkerCommand.Acknowledge>()
    private val starts = ArrayList<WorkerCommand.Start>()

    /** Whether there are no commands. */
    val isEmpty: Boolean get() = stops.isEmpty() && acknowledgements.isEmpty() && starts.isEmpty()

    /** Adds [command] after the others of its kind. */
    fun add(command: WorkerCommand) {
        when (command) {
            is WorkerCommand.Stop -> stops.add(command)
            is WorkerCommand.Acknowledge -> acknowledgements.add(command)
            is WorkerCommand.Start -> starts.add(command)
        }
    }

    /** The commands in the order of execution, at most [MAX_COMMANDS]. The remaining ones are decided again after the next heartbeat. */
    fun inOrder(): List<WorkerCommand> = (stops + acknowledgements + starts).take(MAX_COMMANDS)

    private companion object {
        /** Maximum number of commands in one response; keeps its line within the protocol's limit of 64 KiB. */
        const val MAX_COMMANDS = 500
    }
}
