package mintfield.io.store

/** The keys of the store that belong to one leader: the leader of [shard], or the only leader if [shard] is null (no sharding). */
class LeaderKeys(
    shard: String? = null,
) {
    private val prefix = if (shard == null) "mf/" else "$SHARDS$shard/"

    /** The leader key. It is attached to the leader's lease, and its revision is the term. */
    val leader = prefix + "leader"

    /** Prefix of the round records. */
    val rounds = prefix + "p/"

    /** Prefix of the intents to scale out. */
    val intents = prefix + "i/"

    /** Prefix of the zone fences. */
    val zoneFences = prefix + "d/"

    /** The first block of the learned state, and prefix of the others. */
    val learnedState = prefix + "hints"

    /** The key of the round record [key]. */
    fun round(key: String) = rounds + key

    /** The key of the intent to scale out with [idempotencyKey]. */
    fun intent(idempotencyKey: String) = intents + idempotencyKey

    /** The key of block [block] of the learned state. Block 0 has no number in its key, since a small fleet has only one block. */
    fun learnedState(block: Int) = if (block == 0) learnedState else "$learnedState/$block"

    private companion object {
        const val SHARDS = "mf/s/"
    }
}
