package mintfield.core.jobs

import mintfield.core.model.AcceptedJob
import mintfield.core.model.FinalState

/** State of an accepted job as known to a controller. */
sealed interface KnownJob {
    /** The job is done or cancelled, which is final. */
    data class Ended(
        val state: FinalState,
    ) : KnownJob

    /** The job has a record of an unfinished job, which may state that the job is cancelled. */
    data class Live(
        val job: AcceptedJob,
    ) : KnownJob

    /** The job was accepted, but this version of the program cannot decode its record. */
    data object Unreadable : KnownJob
}
