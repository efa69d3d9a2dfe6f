package mintfield.io.store

/** Names of the keys that a leader has in the store: those of the only one, or of the leader of [shard]. */
class LeaderKeys(
    shard: String? = null,
) {
    private val prefix = if (shard == null) "mf/" else "$SHARDS$shard/"

    /** The leader: hangs on its lease; its revision is the term. */
    val leader = prefix + "leader"

    /** Rounds of plans and results, each of many jobs. */
    val rounds = prefix + "p/"

    /** Rental intents, by idempotency key. */
    val intents = prefix + "i/"

    /** Machines that a leader does not answer any more. */
    val zoneFences = prefix + "d/"

    /** What leaders have learned, for their successors. */
    val learnedState = prefix + "hints"

    fun round(key: String) = rounds + key

    fun intent(idempotencyKey: String) = intents + idempotencyKey

    /** The first block of hints has the name that a fleet of one block has always used. */
    fun learnedState(block: Int) = if (block == 0) learnedState else "$learnedState/$block"

    private companion object {
        const val SHARDS = "mf/s/"
    }
}
