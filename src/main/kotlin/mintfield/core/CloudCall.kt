package mintfield.core

/** A request from the leader to the cloud API. Every request is idempotent. */
sealed interface CloudCall {
    /** Provisions the instances of a recorded intent. */
    data class Provision(
        val intent: ScaleOutIntent,
    ) : CloudCall

    /** Deletes [machines], given by id. */
    data class Release(
        val machines: List<String>,
    ) : CloudCall

    /** Reads the page of the machine list that follows the machine [after], or the first page if [after] is null. */
    data class ListPage(
        val after: String?,
    ) : CloudCall

    /** Reads the machine types with their current prices. */
    data object Types : CloudCall
}
