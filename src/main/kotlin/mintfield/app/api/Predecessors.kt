package mintfield.app.api

/** The result of the lookup of the jobs that a submission names as its predecessors. */
sealed interface Predecessors {
    /** All predecessors were accepted. */
    class Accepted(
        /** The ids of the predecessors that are not known to be done. */
        val unfinished: List<String>,
        /** Whether at least one predecessor is known to be cancelled. */
        val cancelled: Boolean,
    ) : Predecessors

    /** At some moment after the start of the lookup the job [id] had not been accepted. */
    class NeverAccepted(
        val id: String,
    ) : Predecessors

    /** The predecessor [id] is a service. A service is never done, so no job may depend on one. */
    class Service(
        val id: String,
    ) : Predecessors

    /** The store cannot be read. */
    data object Unavailable : Predecessors
}
