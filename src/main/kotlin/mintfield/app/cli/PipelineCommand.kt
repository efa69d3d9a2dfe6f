package mintfield.app.cli

import mintfield.core.model.Settings

/** The command `pipeline`: shows the state of a job and, while it is unfinished, of its predecessors. Writes nothing to the store. */
class PipelineCommand(
    private val settings: Settings,
    private val print: (String) -> Unit,
) {
    /** Prints the state of job [id] and its predecessors; blocks until the store has responded or failed to respond. */
    fun run(id: String): ExitCode =
        CommandLoop.run(settings) { services ->
            val lines = PipelineReader(services.store).describe(id)
            if (lines == null) {
                print("the state service does not answer")
                ExitCode.UNAVAILABLE
            } else {
                lines.forEach(print)
                ExitCode.DONE
            }
        }
}
