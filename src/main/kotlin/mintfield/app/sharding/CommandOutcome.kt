package mintfield.app.sharding

/** What became of an operator's command. */
sealed interface CommandOutcome {
    /** The command was carried out. */
    data object Done : CommandOutcome

    /** The command was not carried out. */
    data class Refused(
        val refusal: CommandRefusal,
    ) : CommandOutcome

    /** The store did not answer, or kept changing meanwhile; whether the command was carried out is not known. */
    data object Unavailable : CommandOutcome
}
