package mintfield.core.jobs

/** What the ends of a job's tasks show of the job. */
enum class JobHealth {
    /** No task has succeeded, and too few have failed to tell. */
    UNKNOWN,

    /** A task is done, or has run for much longer than others took to fail: failures are attributed to their machines. */
    HEALTHY,

    /** It fails on every machine, as a job submitted with a mistake does: it is probed with few tasks, at growing intervals. */
    SUSPECT,
}
