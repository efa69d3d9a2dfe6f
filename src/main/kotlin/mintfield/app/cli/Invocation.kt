package mintfield.app.cli

/** A parsed command line: the action that the program is to carry out. */
internal sealed interface Invocation {
    /** Print the help. */
    data object Help : Invocation

    /** Print the version. */
    data object Version : Invocation

    /** Run a controller. */
    data class Serve(
        val files: SettingsFiles,
    ) : Invocation

    /** Check the settings file at [path]. */
    data class Check(
        val path: String,
    ) : Invocation

    /** Show or change the ownership of machines; [request] is null if the words after the command are invalid. */
    data class Machines(
        val files: SettingsFiles,
        val json: Boolean,
        val request: MachinesRequest?,
    ) : Invocation

    /** Show the state of [job] and of its predecessors. */
    data class Pipeline(
        val files: SettingsFiles,
        val job: String,
    ) : Invocation

    /** Exercise the program, so that the JVM can record the loaded classes in the class-data archive. */
    data object WarmUp : Invocation

    /** The arguments are invalid, for [reason]. */
    data class Unusable(
        val reason: String,
    ) : Invocation
}
