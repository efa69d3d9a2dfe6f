package mintfield.core.constants

/** Parameters of scheduling rounds, the order of jobs and the attribution of failures. */
object PlacementConstants {
    /** Interval between scheduling rounds for replicas of services. */
    const val REPLICA_ROUND_INTERVAL_MS = 40L

    /** Interval between scheduling rounds for all jobs. Each round costs a write. */
    const val ROUND_INTERVAL_MS = 250L

    /** Interval between scheduling rounds for all jobs while writes are scarce. */
    const val ROUND_INTERVAL_SCARCE_WRITES_MS = 500L

    /** Minimum limit on the tasks that one round may place. */
    const val MIN_ROUND_TASKS = 400

    /** Limit on the tasks that one round may place, per CPU of the machines that are up. */
    const val ROUND_TASKS_PER_CPU = 0.01

    /** Maximum time for which a completed task waits to be recorded with a round. Its worker keeps the result until then. */
    const val DONE_BATCH_DELAY_MS = 1_500L

    /** Maximum time for which a completed task waits to be recorded with a round while writes are scarce. */
    const val DONE_BATCH_DELAY_SCARCE_WRITES_MS = 4_000L

    /** Age of a round record after which the plans that it still covers are rewritten in a later record, so that a successor reads few records. */
    const val ROUND_REWRITE_MS = 45_000L

    /** Number of preconditions that the store permits per write of a transaction. */
    const val PRECONDITIONS_PER_WRITE = 4

    /** Maximum fraction of the permitted value size that a round record may take. */
    const val MAX_VALUE_FILL = 0.9

    /** Fraction of a transaction's writes that must be free for writes not to count as scarce. */
    const val PLENTIFUL_WRITES_FRACTION = 0.6

    /** Waiting time after which a job without a started task gets a few tasks placed ahead of all other jobs. */
    const val STARVATION_MS = 90_000L

    /** Fraction of its tasks, but at least one task, that a job gets once it has waited for [STARVATION_MS]. */
    const val STARVATION_TASK_FRACTION = 0.02

    /** Waiting time after which a job has a part in the CPUs reserved for the jobs that have waited longest. */
    const val LONG_STARVATION_MS = 240_000L

    /** Fraction of the CPUs reserved for all jobs that have waited for [LONG_STARVATION_MS]. */
    const val LONG_STARVATION_CPU_FRACTION = 0.05

    /** Target fraction from which an objective is strict: few jobs may miss it. */
    const val STRICT_OBJECTIVE_FRACTION = 0.98

    /** Time before its last possible start for meeting its next strict objective at which a job is expedited. */
    const val CRITICAL_SLACK_MS = 15_000L

    /** Fraction of the CPUs that an expedited job is assumed to get. */
    const val CRITICAL_CPU_FRACTION = 0.5

    /** Maximum fraction of the CPUs that tasks of expedited jobs may hold. */
    const val MAX_EXPEDITED_CPU_FRACTION = 0.35

    /** Run time that is assumed for the last task of an expedited job, as a multiple of its expected run time. */
    const val CRITICAL_RUN_FACTOR = 1.5

    /** Number of replicas, each as large as the largest, for which arrays leave capacity free. */
    const val RESERVE_REPLICAS = 32

    /** Capacity that arrays leave free for replicas, as a fraction of the CPUs that replicas hold. [RESERVE_REPLICAS] applies if it gives more. */
    const val RESERVE_CPU_FRACTION = 0.05

    /** Interval between runs of the scheduler's timers: heartbeat timeouts, leases, scaling. */
    const val TICK_INTERVAL_MS = 250L

    /** Delay before a job is retried after a failure. */
    const val FAILURE_BACKOFF_MS = 500L

    /** Number of consecutive failures that quarantine a machine, and of attributed failures that release it. */
    const val QUARANTINE_FAILURES = 3

    /** Number of jobs of unknown health that must fail in a row on a machine for it to be released without further evidence. */
    const val RELEASE_SUSPECT_JOBS = 4

    /** Number of healthy machines on which a job must fail, without a success on any machine, to become suspect itself. */
    const val SUSPECT_JOB_MACHINES = 3

    /** Number of failures of a job without any success after which its concurrency is limited. */
    const val CAUTIOUS_AFTER_FAILURES = 3

    /** Maximum number of concurrent tasks of a job whose concurrency is limited. */
    const val CAUTIOUS_TASKS = 4

    /** Maximum number of concurrent tasks of a suspect job. */
    const val PROBE_TASKS = 2

    /** Delay between probes of a suspect job, doubled with each probe. */
    const val PROBE_BACKOFF_MS = 2_000L

    /** Maximum delay between probes of a suspect job. */
    const val MAX_PROBE_BACKOFF_MS = 30_000L

    /** Minimum run time of a task that shows a job with nothing but failures to be healthy. */
    const val HEALTHY_RUN_MS = 5_000L

    /** Duration of the quarantine of a machine on which several jobs failed. */
    const val QUARANTINE_MS = 20_000L

    /** Duration of the quarantine of a machine on which only one job failed, as the job itself may be the cause. */
    const val SHORT_QUARANTINE_MS = 5_000L

    /** CPUs needed by waiting tasks, as a fraction of all CPUs, above which capacity is too scarce to be held during an image fetch. */
    const val SATURATED_CPU_FRACTION = 0.4

    /** Minimum time after a failover for which a task waits for machines that hold its image. */
    const val MIN_FAILOVER_GRACE_MS = 3_000L

    /** Fraction of a machine's CPUs that replicas fill while other machines have capacity. */
    const val SPREAD_CPU_FRACTION = 0.25

    /** CPUs of the machines that hold a job's image, per CPU that its waiting tasks need, from which the job waits for those machines. */
    const val IMAGE_CAPACITY_FACTOR = 1.0

    /** Fetch time that is accepted in addition to the expected wait for capacity. */
    const val FETCH_SLACK_S = 1.0

    /** Time without a placement after which an array fetches its image on any machine that has capacity. */
    const val IMAGE_WAIT_LIMIT_MS = 30_000L

    /** Time without a placement after which a job uses every machine that its constraints allow. The fetch of its image follows, within 90 s in all. */
    const val PREFERENCE_WAIT_LIMIT_MS = 45_000L

    /** Time without a placement after which the log states why a job is not placed. */
    const val STALL_REPORT_AFTER_MS = 60_000L

    /** Interval between checks for jobs that are not placed. */
    const val STALL_CHECK_INTERVAL_MS = 1_000L

    /** Minimum interval between two log lines on jobs that are not placed. */
    const val STALL_REPORT_INTERVAL_MS = 30_000L

    /** Weight of a job's first measured task in the ratio of run time to estimate of its class. */
    const val RUN_TIME_RATIO_WEIGHT = 0.3

    /** Number of measured tasks from which a job's own mean run time is used. */
    const val MIN_RUN_TIME_SAMPLES = 3
}
