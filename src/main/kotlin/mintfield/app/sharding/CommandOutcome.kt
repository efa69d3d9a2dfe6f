package mintfield.app.sharding

/** The outcome of an operator's command. */
sealed interface CommandOutcome {
    /** The change is stored. */
    data object Done : CommandOutcome

    /** The command is not permitted in the current state; nothing was changed. */
    data class Refused(
        val refusal: CommandRefusal,
    ) : CommandOutcome

    /** The store did not respond, or each try met a concurrent change. It is unknown whether the command was carried out. */
    data object Unavailable : CommandOutcome
}
