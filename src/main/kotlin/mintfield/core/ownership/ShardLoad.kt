package mintfield.core.ownership

/** How much work a shard has and how many CPUs for it. Its leader measures it and sends it to the other leaders once a second. */
data class ShardLoad(
    /** CPUs of its machines. */
    val ownedCpus: Double,
    /** CPUs of its running and waiting tasks together, the waiting ones as far as their teams' limits allow. */
    val wantedCpus: Double,
    /** CPUs of waiting tasks for which its machines have no room. */
    val shortCpus: Double,
    /** CPUs of the smallest of these tasks; 0 if there are none. */
    val smallestCpus: Double,
    /** Kinds of machines on which some of these tasks fit. */
    val shortOf: Set<MachineKind>,
)
