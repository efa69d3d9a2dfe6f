package mintfield.core.jobs

import mintfield.core.model.FinalState

/** A change in the store that concerns one job. */
sealed interface JobChange {
    /** Id of the job. */
    val id: String

    /** Store revision of the change. */
    val revision: Long

    /** The record of an unfinished job was written. */
    data class Written(
        override val id: String,
        val record: JobRecord,
    ) : JobChange {
        override val revision get() = record.revision
    }

    /** The record of an unfinished job was deleted. */
    data class Removed(
        override val id: String,
        override val revision: Long,
    ) : JobChange

    /** The final state of a job was written. */
    data class Ended(
        override val id: String,
        override val revision: Long,
        val state: FinalState,
    ) : JobChange
}
