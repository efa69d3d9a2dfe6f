package mintfield.core.leadership

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class PeerFailureDetectorTest {
    private val peers = PeerFailureDetector(startedAtMs = 0)

    @Test
    fun `a peer without messages is unreachable after the time of a restart, one that refuses connections is not`() {
        assertFalse(peers.isUnreachable("plot-1", 3_000), "this controller has just started")
        assertTrue(peers.isUnreachable("plot-1", 7_000))
        peers.refused("plot-1", 7_000)
        assertFalse(peers.isUnreachable("plot-1", 8_000))
        peers.recordContact("plot-1", storeServes = true, nowMs = 9_000)
        assertFalse(peers.isUnreachable("plot-1", 14_000))
        assertTrue(peers.isUnreachable("plot-1", 16_000))
    }
}
