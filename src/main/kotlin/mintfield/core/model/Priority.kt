package mintfield.core.model

/** The priority of a job, highest first: tasks of a higher priority may preempt tasks of a lower one. */
enum class Priority { PRODUCTION, HIGH, NORMAL, IDLE }
