package mintfield.core.jobs

import mintfield.core.model.AcceptedJob

/** The record of an unfinished job in the store. */
sealed interface JobRecord {
    /** Store revision of the last change of the record. */
    val revision: Long

    /** A record in a format supported by this version of the program. */
    data class Readable(
        val job: AcceptedJob,
    ) : JobRecord {
        override val revision get() = job.revision
    }

    /** A record that this version of the program cannot decode: only the fact that the job was accepted is known. */
    data class Unreadable(
        override val revision: Long,
    ) : JobRecord
}
