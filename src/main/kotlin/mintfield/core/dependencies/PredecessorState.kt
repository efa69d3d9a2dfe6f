package mintfield.core.dependencies

/** State of a job on which other jobs depend, as far as it is known. [DONE] and [CANCELLED] are final. */
enum class PredecessorState {
    /** Neither the record nor the final state of the job is known here yet. */
    UNRESOLVED,

    /** The job has not ended. */
    UNFINISHED,

    /** The job has ended successfully. */
    DONE,

    /** The job is cancelled, whether or not it has ended. */
    CANCELLED,
    ;

    /** Whether the job can never change to another state. */
    val isFinal: Boolean get() = this == DONE || this == CANCELLED
}
