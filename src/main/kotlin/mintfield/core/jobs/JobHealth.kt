package mintfield.core.jobs

/** Health of a job, derived from the exits and run times of its tasks. */
enum class JobHealth {
    /** No task has succeeded, and too few have failed to attribute the failures. */
    UNKNOWN,

    /** A task is done, or has run for much longer than the failed ones did: failures are attributed to their machines. */
    HEALTHY,

    /** Fails on every machine, like a job submitted with a mistake: it is probed with few tasks at growing intervals. */
    SUSPECT,
}
