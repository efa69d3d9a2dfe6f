package mintfield.io.store

/** Names of all keys that mintfield has in the state service. */
object Keys {
    /** The leader: hangs on its lease; its revision is the term. */
    const val LEADER = "mf/leader"

    /** Both live jobs and final states, so that one watch brings both. */
    const val JOBS = "mf/j/"
    const val LIVE = "mf/j/l/"
    const val FINAL = "mf/j/f/"

    /** Records of plans and done-sets, by job and shard. */
    const val RECORDS = "mf/r/"

    /** Rounds of plans and results, each of many jobs. */
    const val ROUNDS = "mf/p/"

    /** Rental intents, by plea. */
    const val INTENTS = "mf/i/"

    /** What leaders have learned, for their successors. */
    const val HINTS = "mf/hints"

    fun live(id: String) = LIVE + id

    fun final(id: String) = FINAL + id

    fun shard(
        id: String,
        shard: Int,
    ) = "$RECORDS$id/$shard"

    fun round(key: String) = ROUNDS + key

    fun intent(plea: String) = INTENTS + plea

    /** Job and shard that a record's key names. */
    fun parseShard(key: String): Pair<String, Int>? {
        val rest = key.removePrefix(RECORDS)
        val slash = rest.lastIndexOf('/')
        if (slash <= 0) return null
        return rest.substring(0, slash) to (rest.substring(slash + 1).toIntOrNull() ?: return null)
    }
}
