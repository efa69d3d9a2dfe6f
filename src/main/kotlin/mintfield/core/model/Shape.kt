package mintfield.core.model

/** The relation between the tasks of a job. */
enum class Shape {
    /** A job array: independent tasks, each of which runs to completion. */
    ARRAY,

    /** Tasks that run to completion and must all run at the same time. */
    GANG,

    /** Replicas of a service, which run until the job is cancelled. */
    SERVICE,
}
