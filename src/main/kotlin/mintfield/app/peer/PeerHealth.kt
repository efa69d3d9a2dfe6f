package mintfield.app.peer

import mintfield.core.leadership.Isolation
import mintfield.core.leadership.PeerFailureDetector
import mintfield.core.leadership.StoreConnectivity
import mintfield.io.store.StoreClient

/** Which peers can be reached from this controller, and whether the state service serves it, at the time of [nowMs]. */
class PeerHealth(
    private val nowMs: () -> Long,
) {
    private val failureDetector = PeerFailureDetector(nowMs())
    private val store = StoreConnectivity()

    /** What this controller may not do while it is cut off. */
    val isolation = Isolation(store, failureDetector)

    /** Whether the state service served the last call. */
    val isStoreServing: Boolean get() = store.served

    /** Whether the state service has not served this controller for a while: it refuses, or there is no answer. */
    fun isStoreUnavailable(): Boolean = store.unservedForLong(nowMs())

    /** Whether nothing at all has come from the state service for a while, not even a refusal. */
    fun isStoreUnreachable(): Boolean = store.unreachableForLong(nowMs())

    /** Whether [peer] has been silent for longer than a restart takes. */
    fun isUnreachable(peer: String): Boolean = failureDetector.isUnreachable(peer, nowMs())

    /** Whether [peer] has sent a status recently. */
    fun isReachable(peer: String): Boolean = failureDetector.isReachable(peer, nowMs())

    /** Whether [peer] has sent a status recently, and the state service served it then. */
    fun isUpAndServed(peer: String): Boolean = failureDetector.isServed(peer, nowMs())

    /** A reachable peer other than [leader]; null if there is none. */
    fun reachablePeerExcept(leader: String): String? = failureDetector.reachablePeerExcept(leader, nowMs())

    /** A reachable peer that the state service serves; null if there is none. */
    fun servedPeer(): String? = failureDetector.servedPeer(nowMs())

    /** A status of [peer] has arrived. */
    fun statusReceived(
        peer: String,
        storeServes: Boolean,
    ) = failureDetector.recordContact(peer, storeServes, nowMs())

    /** [peer] has refused a connection: its machine is up, its controller is not. */
    fun connectionRefused(peer: String) = failureDetector.refused(peer, nowMs())

    /** Records the outcome of a call to the state service. */
    fun storeContact(contact: StoreClient.Contact) =
        when (contact) {
            StoreClient.Contact.SERVED -> store.served()
            StoreClient.Contact.REFUSED -> store.refused(nowMs())
            StoreClient.Contact.UNRESPONSIVE -> store.noResponse(nowMs())
        }
}
