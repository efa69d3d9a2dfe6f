package mintfield.app.cli

/** What the command line asks the program to do. */
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

    /** Show or change who owns machines; [request] is null if the words after the command cannot be used. */
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

    /** Exercise the program for the class-data archive. */
    data object WarmUp : Invocation

    /** The arguments cannot be used, for [reason]. */
    data class Unusable(
        val reason: String,
    ) : Invocation
}
