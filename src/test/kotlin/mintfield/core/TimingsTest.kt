package mintfield.core

import mintfield.Fixtures
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class TimingsTest {
    @Test
    fun `times that follow from leases and heartbeat intervals keep their order at every site`() {
        for ((heartbeat, lease) in listOf(0.5 to 5.0, 1.0 to 10.0, 1.5 to 10.75, 3.0 to 17.5, 5.0 to 30.0)) {
            val timings = Timings(Fixtures.settings.copy(heartbeatIntervalS = heartbeat, leaseS = lease))
            val longest = (heartbeat * 1250).toLong()
            val leaseMs = (lease * 1000).toLong()
            assertTrue(timings.heartbeatTimeoutMs > longest + 2_000, "a regular heartbeat of $heartbeat s is late at most by a lost packet")
            assertTrue(timings.heartbeatTimeoutMs < leaseMs, "silence shows before the lease of $lease s ends")
            assertTrue(timings.relayAfterMs > longest && timings.settleMs > longest, "one interval of $heartbeat s is not silence")
            assertTrue(
                timings.replayedReleaseMs > leaseMs && timings.unresponsiveReleaseMs > leaseMs + 8_000,
                "nothing is returned that may come back within $lease s",
            )
            assertTrue(timings.leaseExpiryMs > leaseMs, "proof by lease comes after the lease")
            assertTrue(timings.unlistedReleaseMs > longest, "a machine may report before it is returned")
        }
        val own = Fixtures.settings.copy(operator = Fixtures.settings.operator.copy(unresponsiveReleaseMs = 12_345))
        assertEquals(12_345, Timings(own).unresponsiveReleaseMs, "the operators' own setting counts")
    }
}
