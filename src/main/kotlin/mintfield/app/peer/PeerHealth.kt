package mintfield.app.peer

import mintfield.core.constants.PeerConstants
import mintfield.core.leadership.Isolation
import mintfield.core.leadership.PeerFailureDetector
import mintfield.core.leadership.StoreConnectivity
import mintfield.io.store.StoreClient

/** Tracks which peers are reachable from this controller and whether the store serves it. [nowMs] reads the monotonic clock. */
class PeerHealth(
    private val nowMs: () -> Long,
) {
    private val failureDetector = PeerFailureDetector(nowMs())
    private val store = StoreConnectivity()

    /** Decisions that depend on whether this controller is partitioned from the store and its peers. */
    val isolation = Isolation(store, failureDetector)

    /** Whether the store served the last call. */
    val isStoreServing: Boolean get() = store.served

    /** Whether the store has refused all calls or left them unanswered for [PeerConstants.STORE_UNAVAILABLE_MS]. */
    fun isStoreUnavailable(): Boolean = store.unservedForLong(nowMs())

    /** Whether the store has left all calls unanswered, without even a refusal, for [PeerConstants.STORE_UNAVAILABLE_MS]. */
    fun isStoreUnreachable(): Boolean = store.unreachableForLong(nowMs())

    /** Whether no status of [peer] has arrived for longer than a restart takes. */
    fun isUnreachable(peer: String): Boolean = failureDetector.isUnreachable(peer, nowMs())

    /** Whether [peer] has sent a status recently. */
    fun isReachable(peer: String): Boolean = failureDetector.isReachable(peer, nowMs())

    /** Whether [peer] has sent a status recently and was served by the store at that time. */
    fun isUpAndServed(peer: String): Boolean = failureDetector.isServed(peer, nowMs())

    /** A reachable peer other than [leader]; null if there is none. */
    fun reachablePeerExcept(leader: String): String? = failureDetector.reachablePeerExcept(leader, nowMs())

    /** A reachable peer that the store serves; null if there is none. */
    fun servedPeer(): String? = failureDetector.servedPeer(nowMs())

    /** Records the arrival of a status of [peer]. [storeServes]: the store serves that peer. */
    fun statusReceived(
        peer: String,
        storeServes: Boolean,
    ) = failureDetector.recordContact(peer, storeServes, nowMs())

    /** Records that [peer] refused a connection, which means that its machine is up and its controller is down. */
    fun connectionRefused(peer: String) = failureDetector.refused(peer, nowMs())

    /** Records the outcome of a call to the store. */
    fun storeContact(contact: StoreClient.Contact) =
        when (contact) {
            StoreClient.Contact.SERVED -> store.onServed()
            StoreClient.Contact.REFUSED -> store.onRefused(nowMs())
            StoreClient.Contact.UNRESPONSIVE -> store.onNoResponse(nowMs())
        }
}
