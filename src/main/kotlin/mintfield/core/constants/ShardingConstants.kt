package mintfield.core.constants

/** Parameters of shards, their leaders and the transfer of machines between them. */
object ShardingConstants {
    /** Delay before a controller campaigns for a shard whose home is another controller. */
    const val HOME_HEAD_START_MS = 600L

    /** Time for which the home of a shard must be up before the shard is returned to it. */
    const val HOME_STABLE_MS = 20_000L

    /** Additional campaign delay of a controller per shard that it already leads, so that the shards of a lost controller spread. */
    const val LED_SHARD_CAMPAIGN_DELAY_MS = 150L

    /** Delay before a drained controller campaigns. It campaigns at all so that no shard stays without a leader. */
    const val DRAINED_CAMPAIGN_DELAY_MS = 8_000L

    /** Time for which another controller must be up before a drained one transfers a shard to it. */
    const val DRAIN_SUCCESSOR_STABLE_MS = 3_000L

    /** Interval between two shard transfers of a drained controller. Each transfer costs the successor a replay. */
    const val DRAIN_INTERVAL_MS = 3_000L

    /** Interval between checks whether sharding may be activated. */
    const val ACTIVATION_RETRY_MS = 5_000L

    /** Time for which a machine must be idle before it is transferred to a shard with a deficit. */
    const val IDLE_TRANSFER_MS = 5_000L

    /** Interval between two rounds of rebalancing. */
    const val REBALANCE_INTERVAL_MS = 2_000L

    /** Fraction of its machines, but at least one machine, that a shard transfers at a time. */
    const val REBALANCE_FRACTION = 0.05

    /** Time for which the load reported by a shard is valid. */
    const val LOAD_TIMEOUT_MS = 5_000L

    /** Time for which a transferred machine counts as in transit. */
    const val TRANSFER_PENDING_MS = 6_000L

    /** Minimum deviation of a shard from its fair share, as a fraction of that share, for machines in use to be moved. */
    const val FAIR_SHARE_TOLERANCE = 0.15

    /** Time for which a machine that has been moved is not moved again while it is in use. */
    const val MIN_STAY_AFTER_MOVE_MS = 20_000L

    /** Duration of a deficit after which a machine is transferred for its free capacity alone. */
    const val CAPACITY_TRANSFER_DELAY_MS = 30_000L

    /** Number of blocks of the assignment table. It must not be changed while a table exists. */
    const val ASSIGNMENT_BLOCKS = 128

    /** Time after which another shard claims a machine without an owner if the shard responsible for it has no leader. */
    const val CLAIM_TIMEOUT_MS = 15_000L

    /** Maximum number of assignment changes in one transaction. A conflict in one block fails all of them. */
    const val MAX_ASSIGNMENT_CHANGES = 8

    /** Interval between checks for pending changes of assignments. */
    const val ASSIGNMENT_INTERVAL_MS = 100L

    /** Time after which an offer to a shard without a leader is withdrawn. */
    const val OFFER_TIMEOUT_MS = 8_000L

    /** Interval between queries about tasks on machines that another shard owns. */
    const val FOREIGN_TASK_QUERY_INTERVAL_MS = 1_000L

    /** Time after a machine was adopted during which tasks of unknown jobs on it are not stopped. */
    const val FOREIGN_TASK_GRACE_MS = 5_000L
}
