package mintfield.app.api

import mintfield.core.jobs.KnownJob

/** The result of looking a job up. */
sealed interface Lookup {
    /** The job was accepted. */
    class Found(
        val job: KnownJob,
    ) : Lookup

    /** At some moment since the lookup began, no job of that id had been accepted. */
    data object NotFound : Lookup

    /** The store cannot be asked. */
    data object Unavailable : Lookup
}
