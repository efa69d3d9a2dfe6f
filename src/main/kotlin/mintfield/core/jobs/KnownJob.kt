package mintfield.core.jobs

import mintfield.core.model.AcceptedJob
import mintfield.core.model.FinalState

/** What a controller knows of an accepted job. */
sealed interface KnownJob {
    /** The job is done or cancelled, for ever. */
    data class Ended(
        val state: FinalState,
    ) : KnownJob

    /** The job has a record of an unfinished job, which may say that it is cancelled. */
    data class Live(
        val job: AcceptedJob,
    ) : KnownJob

    /** The job was accepted, but its record cannot be read. */
    data object Unreadable : KnownJob
}
