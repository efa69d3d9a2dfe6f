package mintfield.io.store

/** Names of all keys that mintfield has in the state service. */
object Keys {
    /** The leader: hangs on its lease; its revision is the term. */
    const val LEADER = "mf/leader"

    /** Both live jobs and final states, so that one watch brings both. */
    const val JOBS = "mf/j/"
    const val LIVE = "mf/j/l/"
    const val FINAL = "mf/j/f/"

    /** Rounds of plans and results, each of many jobs. */
    const val ROUNDS = "mf/p/"

    /** Rental intents, by plea. */
    const val INTENTS = "mf/i/"

    /** Machines that a leader does not answer any more. */
    const val DISOWNED = "mf/d/"

    /** What leaders have learned, for their successors. */
    const val HINTS = "mf/hints"

    /** The first block of hints has the name that a fleet of one block has always used. */
    fun hints(block: Int) = if (block == 0) HINTS else "$HINTS/$block"

    fun live(id: String) = LIVE + id

    fun final(id: String) = FINAL + id

    fun round(key: String) = ROUNDS + key

    fun intent(plea: String) = INTENTS + plea
}
