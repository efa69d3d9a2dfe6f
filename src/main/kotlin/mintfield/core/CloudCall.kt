package mintfield.core

/** A request that the leader wants sent to the cloud. Each can be repeated without harm. */
sealed interface CloudCall {
    /** Provision the instances of a recorded intent. */
    data class Provision(
        val intent: ScaleOutIntent,
    ) : CloudCall

    /** Delete these machines. */
    data class Release(
        val machines: List<String>,
    ) : CloudCall

    /** Read the page of the machine list after the machine [after]; the first page if it is null. */
    data class ListPage(
        val after: String?,
    ) : CloudCall

    /** Read the machine types with their current prices. */
    data object Types : CloudCall
}
