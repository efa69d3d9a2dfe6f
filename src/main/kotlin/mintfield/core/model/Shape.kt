package mintfield.core.model

/** How the tasks of a job belong together. */
enum class Shape {
    /** A job array: independent tasks, each of which runs to completion. */
    ARRAY,

    /** Tasks that run to completion and must all run at the same time. */
    GANG,

    /** Replicas, which run until the job is cancelled. */
    SERVICE,
}
