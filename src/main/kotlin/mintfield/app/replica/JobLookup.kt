package mintfield.app.replica

import mintfield.core.jobs.KnownJob

/** The result of the lookup of a job. */
sealed interface JobLookup {
    /** The job was accepted. */
    class Found(
        val job: KnownJob,
    ) : JobLookup

    /** At some moment after the start of the lookup no job with this id had been accepted. */
    data object NotFound : JobLookup

    /** The store cannot be read. */
    data object Unavailable : JobLookup
}
