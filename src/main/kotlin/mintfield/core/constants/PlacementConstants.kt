package mintfield.core.constants

/** Rounds of placement, order of jobs and attribution of failures. */
object PlacementConstants {
    /** Milliseconds between scheduling rounds for replicas of services. */
    const val REPLICA_ROUND_INTERVAL_MS = 40L

    /** Milliseconds between scheduling rounds for all jobs. Each costs a write. */
    const val ROUND_INTERVAL_MS = 250L

    /** The same while writes are scarce. */
    const val ROUND_INTERVAL_SCARCE_WRITES_MS = 500L

    /** Tasks that one round may place, at the least. */
    const val MIN_ROUND_TASKS = 400

    /** Tasks that one round may place, for each CPU of the machines that are up. */
    const val ROUND_TASKS_PER_CPU = 0.01

    /** Milliseconds that a completed task may wait to be recorded with a round. Its worker keeps the result until then. */
    const val DONE_BATCH_DELAY_MS = 1_500L

    /** The same while writes are scarce. */
    const val DONE_BATCH_DELAY_SCARCE_WRITES_MS = 4_000L

    /** Milliseconds after which what a round record still covers is written again with a later one, so that a successor reads few. */
    const val ROUND_REWRITE_MS = 45_000L

    /** Preconditions that the store permits for each write of a transaction. */
    const val PRECONDITIONS_PER_WRITE = 4

    /** Fraction of the permitted value size that a round record may take. */
    const val MAX_VALUE_FILL = 0.9

    /** Fraction of a transaction's writes that must be free for writes not to count as scarce. */
    const val PLENTIFUL_WRITES_FRACTION = 0.6

    /** Milliseconds after which a job without a started task gets a few ahead of all others. */
    const val STARVATION_MS = 90_000L

    /** Fraction of its tasks, but at least one, that it then gets. */
    const val STARVATION_TASK_FRACTION = 0.02

    /** Milliseconds after which a job has a part in the CPUs reserved for those that wait longest. */
    const val LONG_STARVATION_MS = 240_000L

    /** Fraction of the CPUs reserved for such jobs together. */
    const val LONG_STARVATION_CPU_FRACTION = 0.05

    /** Target fraction of an objective from which on few jobs may miss it. */
    const val STRICT_OBJECTIVE_FRACTION = 0.98

    /** Milliseconds before the last moment at which a job can start and meet its next strict objective, from which on it is boosted. */
    const val CRITICAL_SLACK_MS = 15_000L

    /** Fraction of the CPUs that such a job is taken to get. */
    const val CRITICAL_CPU_FRACTION = 0.5

    /** Fraction of the CPUs that tasks of boosted jobs may hold. */
    const val MAX_BOOSTED_CPU_FRACTION = 0.35

    /** Times the expected run time that the last task of such a job is taken to need. */
    const val CRITICAL_RUN_FACTOR = 1.5

    /** Replicas, each as large as the largest, for which arrays leave room. */
    const val RESERVE_REPLICAS = 32

    /** The same as a fraction of the CPUs that replicas hold, if that is more. */
    const val RESERVE_CPU_FRACTION = 0.05

    /** Milliseconds between runs of the scheduler's timers: heartbeat timeouts, leases, scaling. */
    const val TICK_INTERVAL_MS = 250L

    /** Milliseconds before a job is tried again after a failure. */
    const val FAILURE_BACKOFF_MS = 500L

    /** Consecutive failures that quarantine a machine, and attributed failures that release it. */
    const val QUARANTINE_FAILURES = 3

    /** Jobs of unknown health that a machine must have failed in a row to be released on that alone. */
    const val RELEASE_SUSPECT_JOBS = 4

    /** Healthy machines on which a job must fail, with no success anywhere, to become suspect itself. */
    const val SUSPECT_JOB_MACHINES = 3

    /** Failures of a job without any success after which its concurrency is limited. */
    const val CAUTIOUS_AFTER_FAILURES = 3

    /** Tasks that such a job may have at once. */
    const val CAUTIOUS_TASKS = 4

    /** Tasks that a suspect job may have at once. */
    const val PROBE_TASKS = 2

    /** Milliseconds between probes of a suspect job, doubled with each. */
    const val PROBE_BACKOFF_MS = 2_000L

    /** Milliseconds between probes of a suspect job, at the most. */
    const val MAX_PROBE_BACKOFF_MS = 30_000L

    /** Milliseconds that a task must run, at the least, to show that a job which has only failed is healthy. */
    const val HEALTHY_RUN_MS = 5_000L

    /** Milliseconds that a machine which failed several jobs is quarantined. */
    const val QUARANTINE_MS = 20_000L

    /** The same if it failed one job only, which may be the cause itself. */
    const val SHORT_QUARANTINE_MS = 5_000L

    /** Waiting CPUs, as a fraction of all, from which on room is too scarce to hold it while an image is fetched. */
    const val CROWDED_CPU_FRACTION = 0.4

    /** Milliseconds after a failover for which a task waits for machines that hold its image, at the least. */
    const val MIN_SETTLE_MS = 3_000L

    /** Fraction of a machine's CPUs that replicas fill while there are others. */
    const val SPREAD_CPU_FRACTION = 0.25

    /** CPUs of machines with a job's image, per CPU that its waiting tasks need, from which on it waits for those machines. */
    const val IMAGE_CAPACITY_FACTOR = 1.0

    /** Seconds of fetching that are accepted whatever the wait elsewhere. */
    const val FETCH_SLACK_S = 1.0

    /** Milliseconds without a placement after which an array fetches its image wherever there is room. */
    const val IMAGE_WAIT_LIMIT_MS = 30_000L

    /** Weight of a job's first measured task in its class's ratio of run time to estimate. */
    const val RUN_TIME_RATIO_WEIGHT = 0.3

    /** Measured tasks after which a job's own mean run time is used. */
    const val MIN_RUN_TIME_SAMPLES = 3
}
