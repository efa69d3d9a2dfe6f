package mintfield.core.constants

/** Shards of the fleet, their leaders and the handover of machines. */
object ShardingConstants {
    /** Milliseconds that a controller waits before it campaigns for a shard whose home is another. */
    const val HOME_HEAD_START_MS = 600L

    /** Milliseconds for which the home of a shard must be up before it gets the shard back. */
    const val HOME_STABLE_MS = 20_000L

    /** Milliseconds that a controller waits longer for each shard that it leads already, so that the shards of a lost one spread. */
    const val LED_SHARD_CAMPAIGN_DELAY_MS = 150L

    /** Milliseconds that a drained controller waits before it campaigns, rather than leave a shard without a leader. */
    const val DRAINED_CAMPAIGN_DELAY_MS = 8_000L

    /** Milliseconds for which another controller must be up before a drained one transfers a shard to it. */
    const val DRAIN_SUCCESSOR_STABLE_MS = 3_000L

    /** Milliseconds between two such transfers: each costs the successor a replay. */
    const val DRAIN_INTERVAL_MS = 3_000L

    /** Milliseconds between checks whether sharding may be activated. */
    const val ACTIVATION_RETRY_MS = 5_000L

    /** Milliseconds for which a machine must be idle before it is transferred to a shard with a deficit. */
    const val IDLE_TRANSFER_MS = 5_000L

    /** Milliseconds between two rounds of rebalancing. */
    const val REBALANCE_INTERVAL_MS = 2_000L

    /** Fraction of its machines that a shard transfers at a time, but at least one. */
    const val REBALANCE_FRACTION = 0.05

    /** Milliseconds for which the load that a shard reported counts. */
    const val LOAD_TIMEOUT_MS = 5_000L

    /** Milliseconds for which a transferred machine counts as on its way. */
    const val TRANSFER_PENDING_MS = 6_000L

    /** Fraction of its fair share by which a shard must be above or below it before machines in use are moved. */
    const val FAIR_SHARE_TOLERANCE = 0.15

    /** Milliseconds for which a machine that has moved is not moved again while it is in use. */
    const val MIN_STAY_AFTER_MOVE_MS = 20_000L

    /** Milliseconds of deficit after which a machine is transferred for its free capacity alone. */
    const val CAPACITY_TRANSFER_DELAY_MS = 30_000L

    /** Blocks of the assignment table. Not to be changed while a table exists. */
    const val ASSIGNMENT_BLOCKS = 128

    /** Milliseconds after which another shard claims a machine without an owner if the one that should has no leader. */
    const val CLAIM_TIMEOUT_MS = 15_000L

    /** Changes of assignments in one transaction: a conflict in one block fails them all. */
    const val MAX_ASSIGNMENT_CHANGES = 8

    /** Milliseconds between checks for changes to make in the assignments. */
    const val ASSIGNMENT_INTERVAL_MS = 100L

    /** Milliseconds after which an offer to a shard without a leader is taken back. */
    const val OFFER_TIMEOUT_MS = 8_000L

    /** Milliseconds between queries about tasks on machines that another shard owns. */
    const val FOREIGN_TASK_QUERY_INTERVAL_MS = 1_000L

    /** Milliseconds after a machine was adopted for which tasks of unknown jobs are left alone. */
    const val FOREIGN_TASK_GRACE_MS = 5_000L
}
