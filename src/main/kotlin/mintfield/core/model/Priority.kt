package mintfield.core.model

/** The priority of a job, highest first: work of a higher priority may preempt work of a lower one. */
enum class Priority { PRODUCTION, HIGH, NORMAL, IDLE }
