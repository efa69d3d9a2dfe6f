package mintfield.core.constants

/** Parameters of failure detection, scaling and cloud calls. */
object FleetConstants {
    /** Time after the expiry of its lease at which an unresponsive machine is released, provided that the rest of its zone responds. */
    const val UNRESPONSIVE_RELEASE_SLACK_MS = 13_000L

    /** Time that a worker may need to find a leader. One controller that is cut off costs it four seconds. */
    const val FIND_LEADER_MS = 6_000L

    /** Minimum time after which a machine that is known only from a plan is released. */
    const val UNLISTED_RELEASE_MS = 5_000L

    /** Time added to the longest regular heartbeat interval before a machine that is known only from a plan is released. */
    const val UNLISTED_RELEASE_SLACK_MS = 4_000L

    /** Time after which an unresponsive machine is released while most of its zone is unresponsive. It is long because a network partition may end. */
    const val UNRESPONSIVE_ZONE_RELEASE_MS = 90_000L

    /** Fraction of a zone's machines that, when unresponsive, indicates a network partition rather than failed machines. */
    const val UNRESPONSIVE_ZONE_FRACTION = 0.5

    /** Minimum number of unresponsive machines in a zone for the zone to be fenced. */
    const val MIN_FENCED_MACHINES = 3

    /** Interval between checks for zones to fence. Each check may cost a write. */
    const val ZONE_FENCE_CHECK_MS = 1_000L

    /** Maximum time that a heartbeat waits for the fence that names its machine to be lifted. */
    const val ZONE_FENCE_WAIT_MS = 1_000L

    /** Interval at which a waiting heartbeat checks whether the fence has been lifted. */
    const val ZONE_FENCE_WAIT_STEP_MS = 20L

    /** Maximum difference between the wall clocks of two controllers, including the granularity of their timers. */
    const val WALL_CLOCK_MARGIN_MS = 500L

    /** Multiple of its usual boot time after which a machine is overdue. */
    const val OVERDUE_BOOT_FACTOR = 1.75

    /** Time added to the overdue threshold for the cloud request and the first heartbeat. */
    const val OVERDUE_BOOT_SLACK_MS = 3_000L

    /** Time for which an observed boot time is taken into account. */
    const val BOOT_TIMES_KEPT_MS = 180_000L

    /** Maximum fraction of the CPUs that may be provisioned to replace overdue machines. */
    const val OVERDUE_REPLACEMENT_FRACTION = 0.15

    /** Multiple of its usual boot time after which a machine that is not up is released. */
    const val BOOT_TIMEOUT_FACTOR = 4.0

    /** Time added to the boot timeout. */
    const val BOOT_TIMEOUT_SLACK_MS = 30_000L

    /** Multiple of its usual lag by which the cloud's list may lag, as defined by the protocol. */
    const val LIST_LAG_FACTOR = 2.0

    /** Interval between reads of the machine list. */
    const val LIST_INTERVAL_MS = 5_000L

    /** Interval between reads of the catalogue of machine types. */
    const val CATALOGUE_INTERVAL_MS = 60_000L

    /** Time for which a machine type, zone and kind is not requested after the cloud had no capacity. Each consecutive refusal doubles it. */
    const val NO_CAPACITY_BACKOFF_MS = 20_000L

    /** Upper bound on the doubled [NO_CAPACITY_BACKOFF_MS]. */
    const val MAX_NO_CAPACITY_BACKOFF_MS = 80_000L

    /** Timeout for a response from the cloud. */
    const val CLOUD_TIMEOUT_MS = 5_000L

    /** Delay before a failed cloud call is retried. */
    const val CLOUD_RETRY_MS = 1_000L

    /** Fraction of the permitted cloud calls that the leader uses. */
    const val CLOUD_CALL_FRACTION = 0.8

    /** Time for which the name of a released machine is kept, as a heartbeat or a machine list may arrive minutes late. */
    const val RELEASED_NAMES_KEPT_MS = 900_000L

    /** Minimum size limit, in machines, of one scale-out request, however small the fleet. */
    const val MIN_SCALE_OUT_BATCH = 8

    /** Size limit of one scale-out request as a fraction of the fleet, where that exceeds [MIN_SCALE_OUT_BATCH]. */
    const val SCALE_OUT_BATCH_FRACTION = 0.125

    /** Maximum number of machines in one scale-out request, as defined by the protocol. */
    const val MAX_SCALE_OUT_BATCH = 50

    /** CPUs to provision per CPU of demand. */
    const val DEFAULT_HEADROOM = 1.6

    /** Time for which a machine that is not needed is kept. */
    const val IDLE_RELEASE_MS = 180_000L

    /** Time for which a machine that is not needed is kept while there are no unfinished jobs. */
    const val IDLE_RELEASE_WITHOUT_JOBS_MS = 40_000L
}
