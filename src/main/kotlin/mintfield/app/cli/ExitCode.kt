package mintfield.app.cli

/** How the program ended, for scripts; [number] is the exit code of the process. */
enum class ExitCode(
    val number: Int,
) {
    /** The command was carried out. */
    DONE(number = 0),

    /** The command was refused, and the reason printed. */
    REFUSED(number = 1),

    /** The arguments or the settings cannot be used. */
    BAD_USAGE(number = 2),

    /** The store does not answer. */
    UNAVAILABLE(number = 3),
}
