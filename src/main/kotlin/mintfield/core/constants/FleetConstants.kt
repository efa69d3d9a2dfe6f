package mintfield.core.constants

/** Failure detection, scaling and the cloud. */
object FleetConstants {
    /** Milliseconds beyond its lease after which an unresponsive machine is released, if the rest of its zone responds. */
    const val UNRESPONSIVE_RELEASE_SLACK_MS = 13_000L

    /** Milliseconds that a worker may need to find a leader: one controller that is cut off costs it four seconds. */
    const val FIND_LEADER_MS = 6_000L

    /** Milliseconds after which a machine that only a plan names is released, at the least. */
    const val UNLISTED_RELEASE_MS = 5_000L

    /** Milliseconds beyond the longest regular heartbeat interval for the same. */
    const val UNLISTED_RELEASE_SLACK_MS = 4_000L

    /** The same while most of the machine's zone is unresponsive: a partition may end. */
    const val UNRESPONSIVE_ZONE_RELEASE_MS = 90_000L

    /** Fraction of a zone's machines whose silence indicates a partition rather than dead machines. */
    const val UNRESPONSIVE_ZONE_FRACTION = 0.5

    /** Unresponsive machines of a zone from which on it is fenced. */
    const val MIN_FENCED_MACHINES = 3

    /** Milliseconds between checks for such zones. Each may cost a write. */
    const val ZONE_FENCE_CHECK_MS = 1_000L

    /** Milliseconds that a heartbeat may wait until the fence that names its machine is lifted. */
    const val ZONE_FENCE_WAIT_MS = 1_000L

    /** Milliseconds between checks whether it is. */
    const val ZONE_FENCE_WAIT_STEP_MS = 20L

    /** Milliseconds by which the times of day of two controllers, and the steps of their timers, may differ at the most. */
    const val WALL_CLOCK_MARGIN_MS = 500L

    /** Times its usual boot time after which a machine is overdue. */
    const val OVERDUE_BOOT_FACTOR = 1.75

    /** Milliseconds on top for the request and the first heartbeat. */
    const val OVERDUE_BOOT_SLACK_MS = 3_000L

    /** Milliseconds for which an observed boot time counts. */
    const val BOOT_TIMES_KEPT_MS = 180_000L

    /** Fraction of the CPUs that may be provisioned in place of overdue machines. */
    const val OVERDUE_REPLACEMENT_FRACTION = 0.15

    /** Times its usual boot time after which a machine that is not up is released. */
    const val BOOT_TIMEOUT_FACTOR = 4.0

    /** Milliseconds added to that. */
    const val BOOT_TIMEOUT_SLACK_MS = 30_000L

    /** Times its usual lag that the cloud's machine list may lag, by the protocol. */
    const val LIST_LAG_FACTOR = 2.0

    /** Milliseconds between reads of the machine list. */
    const val LIST_INTERVAL_MS = 5_000L

    /** Milliseconds between reads of the catalogue of machine types. */
    const val CATALOGUE_INTERVAL_MS = 60_000L

    /** Milliseconds for which a type, zone and kind is not requested after the cloud had no capacity. */
    const val NO_CAPACITY_BACKOFF_MS = 20_000L

    /** The same at the most: each refusal in a row doubles it. */
    const val MAX_NO_CAPACITY_BACKOFF_MS = 80_000L

    /** Milliseconds to wait for a response of the cloud. */
    const val CLOUD_TIMEOUT_MS = 5_000L

    /** Milliseconds between cloud calls that fail. */
    const val CLOUD_RETRY_MS = 1_000L

    /** Fraction of the permitted cloud calls that the leader uses. */
    const val CLOUD_CALL_FRACTION = 0.8

    /** Milliseconds for which the name of a released machine is kept, as a heartbeat or list may come minutes late. */
    const val RELEASED_NAMES_KEPT_MS = 900_000L

    /** Machines in one scale-out request, at the least permitted. */
    const val MIN_SCALE_OUT_BATCH = 8

    /** The same as a fraction of the fleet, if that is more. */
    const val SCALE_OUT_BATCH_FRACTION = 0.125

    /** The protocol's bound on the same. */
    const val MAX_SCALE_OUT_BATCH = 50

    /** CPUs wanted per CPU in demand. */
    const val DEFAULT_HEADROOM = 1.6

    /** Milliseconds that an unneeded machine is kept. */
    const val IDLE_RELEASE_MS = 180_000L

    /** The same while there is no unfinished job at all. */
    const val IDLE_RELEASE_WITHOUT_JOBS_MS = 40_000L
}
