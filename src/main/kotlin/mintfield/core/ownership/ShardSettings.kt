package mintfield.core.ownership

/** The settings of one shard: a subset of the machines and the teams whose jobs its leader schedules. */
data class ShardSettings(
    val name: String,
    /** The controller that should lead the shard whenever it is up and not drained. */
    val home: String,
    val teams: List<String>,
    /** The number of machines at or below which none is moved to another shard or released as idle. */
    val floor: Int = 0,
    /** The number of machines up to which the shard provisions more. */
    val ceiling: Int = Int.MAX_VALUE,
    /** Relative weight in the division of machines among shards while all have a deficit. */
    val weight: Double = DEFAULT_WEIGHT,
) {
    /** Default values. */
    companion object {
        /** The weight of a shard without a configured weight. */
        const val DEFAULT_WEIGHT = 1.0
    }
}
