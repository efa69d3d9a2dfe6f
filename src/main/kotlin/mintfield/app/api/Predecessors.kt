package mintfield.app.api

/** What is known of the jobs that a submission names as its predecessors. */
sealed interface Predecessors {
    /** All were accepted. */
    class Accepted(
        /** Those that are not known to be done. */
        val unfinished: List<String>,
        /** Whether any of them is known to be cancelled. */
        val cancelled: Boolean,
    ) : Predecessors

    /** At some moment since the lookup began, [id] had not been accepted. */
    class NeverAccepted(
        val id: String,
    ) : Predecessors

    /** [id] is a service, which is never done. */
    class Service(
        val id: String,
    ) : Predecessors

    /** The store cannot be asked. */
    data object Unavailable : Predecessors
}
