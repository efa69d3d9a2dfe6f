package mintfield.core.ownership

/** The settings of one shard: a part of the machines, with the teams whose jobs its leader schedules. */
data class ShardSettings(
    val name: String,
    /** The controller that should lead the shard while it is up. */
    val home: String,
    val teams: List<String>,
    /** Machines below which none is taken from the shard or released as idle. */
    val floor: Int = 0,
    /** Machines above which the shard provisions no more. */
    val ceiling: Int = Int.MAX_VALUE,
    /** Its part of the machines, relative to the weights of the others, while all want more than there are. */
    val weight: Double = DEFAULT_WEIGHT,
) {
    /** What holds where operators state nothing. */
    companion object {
        /** The weight of a shard without one. */
        const val DEFAULT_WEIGHT = 1.0
    }
}
