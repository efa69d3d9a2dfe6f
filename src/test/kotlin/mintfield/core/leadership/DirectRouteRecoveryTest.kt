package mintfield.core.leadership

import mintfield.core.constants.PeerConstants
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class DirectRouteRecoveryTest {
    @Test
    fun `after a partition one worker of a zone probes the direct route, and the others follow its direct heartbeat`() {
        // Guards against workers that stay relayed forever and lose their leases when the leader stalls.
        val recovery = DirectRouteRecovery(directFreshMs = 3_000)
        assertTrue(recovery.shouldConnectDirectly("m-1", "north", 1_000), "the first worker of the zone probes")
        assertFalse(recovery.shouldConnectDirectly("m-2", "north", 1_100), "the others stay with the relaying peer")
        assertFalse(recovery.shouldConnectDirectly("m-1", "north", 5_000), "it is relayed again, so it has not reached the leader")
        assertTrue(recovery.shouldConnectDirectly("m-3", "north", 1_000 + PeerConstants.DIRECT_ROUTE_PROBE_MS), "another worker probes later")
        recovery.directHeartbeat("north", 8_000)
        assertTrue(recovery.shouldConnectDirectly("m-2", "north", 8_100))
        assertTrue(recovery.shouldConnectDirectly("m-4", "north", 8_200))
        assertTrue(recovery.shouldConnectDirectly("m-5", "south", 8_200), "each zone has its own probe")
        assertFalse(recovery.shouldConnectDirectly("m-6", "south", 8_300))
    }
}
