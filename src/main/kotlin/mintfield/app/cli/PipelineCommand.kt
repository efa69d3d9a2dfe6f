package mintfield.app.cli

import mintfield.core.model.Settings

/** The command `pipeline`: shows the state of a job and, if it waits for predecessors, theirs. It only reads. */
class PipelineCommand(
    private val settings: Settings,
    private val print: (String) -> Unit,
) {
    /** Shows the job [id]; blocks until the store has answered. */
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
