package mintfield.app.cli

/** The result of the program for scripts; [number] is the exit code of the process. */
enum class ExitCode(
    val number: Int,
) {
    /** The command was carried out. */
    DONE(number = 0),

    /** The command was refused; the reason is printed. */
    REFUSED(number = 1),

    /** The arguments or the settings are invalid. */
    BAD_USAGE(number = 2),

    /** The store did not respond, or concurrent changes prevented the command. It is unknown whether a change was carried out. */
    UNAVAILABLE(number = 3),
}
