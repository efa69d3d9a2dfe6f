package mintfield.app.sharding

import mintfield.core.ownership.AssignmentRefusal
import mintfield.core.ownership.DrainRefusal

/** Why an operator's command is refused. */
sealed interface CommandRefusal {
    /** The reason as it is printed. */
    val reason: String

    /** The assignment of the machine may not change so. */
    data class Assignment(
        val refusal: AssignmentRefusal,
    ) : CommandRefusal {
        override val reason get() = refusal.reason
    }

    /** The set of drained controllers may not change so. */
    data class Drain(
        val refusal: DrainRefusal,
    ) : CommandRefusal {
        override val reason get() = refusal.reason
    }

    /** Sharding cannot end: it is not active. */
    data object NotSharded : CommandRefusal {
        override val reason get() = "machines are not shared"
    }

    /** Sharding cannot end while [controller] leads a shard. */
    data class ShardLed(
        val controller: String,
    ) : CommandRefusal {
        override val reason get() = "$controller leads a share; stop all controllers first"
    }

    /** Sharding cannot end while [job] is unfinished. */
    data class JobUnfinished(
        val job: String,
    ) : CommandRefusal {
        override val reason get() = "job $job is unfinished"
    }
}
