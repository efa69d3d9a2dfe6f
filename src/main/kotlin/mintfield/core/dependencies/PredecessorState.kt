package mintfield.core.dependencies

/** What is known of a job that others depend on. [DONE] and [CANCELLED] are final. */
enum class PredecessorState {
    /** Neither its record nor its final state is known here yet. */
    UNRESOLVED,

    /** It has not ended. */
    UNFINISHED,

    /** It is done. */
    DONE,

    /** It is cancelled. */
    CANCELLED,
    ;

    /** Whether the job can never be in another state. */
    val isFinal: Boolean get() = this == DONE || this == CANCELLED
}
