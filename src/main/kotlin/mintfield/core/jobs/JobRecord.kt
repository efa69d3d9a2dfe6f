package mintfield.core.jobs

import mintfield.core.model.AcceptedJob

/** The record of an unfinished job in the store. */
sealed interface JobRecord {
    /** The store's revision of the last change of the record. */
    val revision: Long

    /** A record in a format that this version of the program knows. */
    data class Readable(
        val job: AcceptedJob,
    ) : JobRecord {
        override val revision get() = job.revision
    }

    /** A record that this version of the program cannot read: nothing is known of the job but that it was accepted. */
    data class Unreadable(
        override val revision: Long,
    ) : JobRecord
}
