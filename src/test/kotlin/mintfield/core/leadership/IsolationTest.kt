package mintfield.core.leadership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Which clients a partitioned controller must leave to other controllers. */
class IsolationTest {
    private val store = StoreConnectivity()
    private val peers = PeerFailureDetector(startedAtMs = 0)
    private val isolation = Isolation(store, peers)

    @Test
    fun `a controller without responses from the store redirects users and workers after a time-out, but not while a peer is reachable`() {
        store.onNoResponse(10_000)
        assertFalse(isolation.isCutOff(11_000))
        assertTrue(isolation.isCutOff(12_500))
        assertTrue(isolation.redirectsWorkers(leaseLeftMs = -2_500, nowMs = 12_500))
        assertFalse(isolation.redirectsWorkers(leaseLeftMs = -1_000, nowMs = 12_500), "the lease ended too recently")
        peers.recordContact("plot-1", storeServes = false, nowMs = 12_600)
        assertFalse(isolation.isCutOff(12_700))
        assertFalse(isolation.redirectsWorkers(leaseLeftMs = -2_500, nowMs = 12_700))
        assertTrue(isolation.isCutOff(17_000), "the peer's last status message is too old")
    }

    @Test
    fun `an outage is not a partition, and a controller that alone is refused leaves users to a peer that is served`() {
        store.onNoResponse(10_000)
        store.onRefused(10_500)
        assertFalse(isolation.isCutOff(20_000))
        assertFalse(isolation.isRefusedAlone(20_000))
        peers.recordContact("plot-1", storeServes = false, nowMs = 20_000)
        peers.recordContact("plot-2", storeServes = true, nowMs = 20_000)
        assertTrue(isolation.isRefusedAlone(20_100))
        assertEquals("plot-2", peers.servedPeer(20_100))
        store.onServed()
        assertFalse(isolation.isRefusedAlone(20_200))
    }
}
