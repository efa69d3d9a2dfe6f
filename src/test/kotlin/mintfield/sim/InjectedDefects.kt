package mintfield.sim

/** Defects injected into the scheduler or its input, to show that [RuleChecker] detects them. */
class InjectedDefects(
    /** The leader releases the attempts of a machine from which it has received no message for some seconds. */
    val releaseUnresponsive: Boolean = false,
    /** The leader applies no team's quota ceiling. */
    val ignoreQuota: Boolean = false,
    /** The leader treats all tasks of a job as done when one of them is. */
    val finishEarly: Boolean = false,
    /** The store records jobs without their constraints on zones, spread and spot machines. */
    val hideConstraints: Boolean = false,
    /** The store marks no job record as cancelled, and no controller confirms a cancellation. */
    val hideCancellations: Boolean = false,
    /** A leader does not learn of the cancellations that its own controller confirms. */
    val hideOwnConfirmations: Boolean = false,
    /** The store ignores the preconditions on job records. */
    val ignorePreconditions: Boolean = false,
    /** The leader discards the last sequence number of each machine's heartbeats. */
    val ignoreHeartbeatOrder: Boolean = false,
    /** The leader assumes at all times that it knows of every cancellation. */
    val assumeWatermarkComplete: Boolean = false,
    /** The leader starts tasks before the transaction that records their plan has been applied. */
    val startUnplanned: Boolean = false,
    /** A new leader does not replay cancelled jobs. */
    val skipCancelledInReplay: Boolean = false,
    /** Every predecessor counts as done. */
    val ignoreDependencies: Boolean = false,
    /** The leader does not learn that a predecessor was cancelled. */
    val ignoreCancelledPredecessors: Boolean = false,
)
