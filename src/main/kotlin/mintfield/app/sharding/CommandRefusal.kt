package mintfield.app.sharding

import mintfield.core.ownership.AssignmentRefusal
import mintfield.core.ownership.DrainRefusal

/** The reason why an operator's command is refused. */
sealed interface CommandRefusal {
    /** The reason as printed on the command line. */
    val reason: String

    /** The assignment of the machine does not permit the change. */
    data class Assignment(
        val refusal: AssignmentRefusal,
    ) : CommandRefusal {
        override val reason get() = refusal.reason
    }

    /** The set of drained controllers does not permit the change. */
    data class Drain(
        val refusal: DrainRefusal,
    ) : CommandRefusal {
        override val reason get() = refusal.reason
    }

    /** Sharding cannot be ended because it is not active. */
    data object NotSharded : CommandRefusal {
        override val reason get() = "machines are not shared"
    }

    /** Sharding cannot be ended while [controller] leads a shard. */
    data class ShardLed(
        val controller: String,
    ) : CommandRefusal {
        override val reason get() = "$controller leads a share; stop all controllers first"
    }

    /** Sharding cannot be ended while [job] is unfinished. */
    data class JobUnfinished(
        val job: String,
    ) : CommandRefusal {
        override val reason get() = "job $job is unfinished"
    }
}
