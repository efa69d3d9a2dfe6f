package mintfield.sim

/** Faults planted in the scheduler or in its input, to show that [RuleChecker] detects them. */
class PlantedFaults(
    /** The leader releases the attempts of a machine that has been silent for some seconds. */
    val releaseOnSilence: Boolean = false,
    /** The leader knows no team's quota ceiling. */
    val ignoreQuota: Boolean = false,
    /** The leader takes a job for done when one of its tasks is. */
    val finishEarly: Boolean = false,
    /** The store shows jobs without their constraints of zone and kind of machine. */
    val hideConstraints: Boolean = false,
    /** Neither the store nor the peers show cancellations. */
    val hideCancellations: Boolean = false,
    /** The store ignores the preconditions on the records of jobs. */
    val ignorePreconditions: Boolean = false,
    /** The leader forgets the sequence of each machine's heartbeats. */
    val ignoreHeartbeatOrder: Boolean = false,
    /** The leader believes at all times that it knows of every cancellation. */
    val assumeWatermarkComplete: Boolean = false,
    /** The leader starts tasks whose plan is not written. */
    val startUnplanned: Boolean = false,
    /** A new leader does not replay cancelled jobs. */
    val skipCancelledInReplay: Boolean = false,
    /** Every predecessor counts as done. */
    val ignoreDependencies: Boolean = false,
    /** The leader does not learn that a predecessor was cancelled. */
    val ignoreCancelledPredecessors: Boolean = false,
)
