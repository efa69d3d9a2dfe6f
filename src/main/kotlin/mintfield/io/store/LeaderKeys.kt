package mintfield.io.store

/** Names of the keys that a leader has in the state service: those of the only one, or of the leader of [share]. */
class LeaderKeys(
    share: String? = null,
) {
    private val prefix = if (share == null) "mf/" else "$SHARES$share/"

    /** The leader: hangs on its lease; its revision is the term. */
    val leader = prefix + "leader"

    /** Rounds of plans and results, each of many jobs. */
    val rounds = prefix + "p/"

    /** Rental intents, by plea. */
    val intents = prefix + "i/"

    /** Machines that a leader does not answer any more. */
    val disowned = prefix + "d/"

    /** What leaders have learned, for their successors. */
    val hints = prefix + "hints"

    fun round(key: String) = rounds + key

    fun intent(plea: String) = intents + plea

    /** The first block of hints has the name that a fleet of one block has always used. */
    fun hints(block: Int) = if (block == 0) hints else "$hints/$block"

    private companion object {
        const val SHARES = "mf/s/"
    }
}
