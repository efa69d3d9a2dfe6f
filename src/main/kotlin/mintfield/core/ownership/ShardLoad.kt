package mintfield.core.ownership

/** The demand and capacity of a shard in CPUs. Its leader measures it once a second and sends it to the other leaders. */
data class ShardLoad(
    /** CPUs of the shard's machines. */
    val ownedCpus: Double,
    /** CPUs of running and waiting tasks together; waiting tasks count up to their teams' quotas. */
    val wantedCpus: Double,
    /** CPUs of the waiting tasks that fit on none of the shard's machines. */
    val shortCpus: Double,
    /** CPUs of the smallest task counted in [shortCpus]; 0 if there is none. */
    val smallestCpus: Double,
    /** The kinds of machines that could run at least one task counted in [shortCpus]. */
    val shortOf: Set<MachineKind>,
)
