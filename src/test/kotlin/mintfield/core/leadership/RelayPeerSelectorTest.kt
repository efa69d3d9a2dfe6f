package mintfield.core.leadership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class RelayPeerSelectorTest {
    @Test
    fun `workers are relayed by a peer that is followed by a responsive controller`() {
        // Guards against losing all leases when one controller is down and the leader before it stalls: workers wait 4 s and a second at each.
        val members = listOf("plot-0", "plot-1", "plot-2")

        fun relayPeer(
            memberName: String,
            vararg unreachable: String,
        ) = RelayPeerSelector(members, memberName).relayPeer({ it in unreachable }, { it !in unreachable })
        assertNull(relayPeer("plot-0"), "all peers are reachable")
        assertEquals("plot-2", relayPeer("plot-0", "plot-1"), "the leader follows plot-2")
        assertNull(relayPeer("plot-2", "plot-1"), "plot-0 follows the leader and is reachable")
        assertNull(relayPeer("plot-0", "plot-1", "plot-2"), "no peer is reachable")
        assertNull(RelayPeerSelector(listOf("plot-0"), "plot-0").relayPeer({ true }, { false }), "a single controller has no peer")
    }

    @Test
    fun `a worker is redirected to the relay peer once, and served when it returns`() {
        val selector = RelayPeerSelector(listOf("plot-0", "plot-1", "plot-2"), "plot-0")
        assertTrue(selector.shouldRedirect("m-1", wasRelayed = false, 1_000))
        assertFalse(selector.shouldRedirect("m-1", wasRelayed = false, 3_000), "it could not reach the peer")
        assertFalse(selector.shouldRedirect("m-1", wasRelayed = true, 60_000), "it was relayed by the peer and has lost the connection to it")
        assertTrue(selector.shouldRedirect("m-1", wasRelayed = false, 61_000))
    }
}
