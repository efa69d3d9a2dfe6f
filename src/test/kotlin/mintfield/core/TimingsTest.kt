package mintfield.core

import mintfield.Fixtures
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class TimingsTest {
    @Test
    fun `times derived from lease and heartbeat interval keep their order for different settings`() {
        for ((heartbeat, lease) in listOf(0.5 to 5.0, 1.0 to 10.0, 1.5 to 10.75, 3.0 to 17.5, 5.0 to 30.0)) {
            val timings = Timings(Fixtures.settings.copy(heartbeatIntervalS = heartbeat, leaseS = lease))
            val longest = (heartbeat * 1250).toLong()
            val leaseMs = (lease * 1000).toLong()
            assertTrue(timings.heartbeatTimeoutMs > longest + 2_000, "the time-out exceeds the interval of $heartbeat s by enough to resend a lost packet")
            assertTrue(timings.heartbeatTimeoutMs < leaseMs, "a missing heartbeat is detected before the lease of $lease s ends")
            assertTrue(timings.relayAfterMs > longest && timings.failoverGraceMs > longest, "one interval of $heartbeat s without a heartbeat is normal")
            assertTrue(
                timings.replayedReleaseMs > leaseMs && timings.unresponsiveReleaseMs > leaseMs + 8_000,
                "no machine is released that may recover within its lease of $lease s",
            )
            assertTrue(timings.leaseExpiryMs > leaseMs, "lease expiry is only assumed after the end of the lease")
            assertTrue(timings.unlistedReleaseMs > longest, "a machine has time for a heartbeat before it is released")
        }
        val overridden = Fixtures.settings.copy(operator = Fixtures.settings.operator.copy(unresponsiveReleaseMs = 12_345))
        assertEquals(12_345, Timings(overridden).unresponsiveReleaseMs, "the operators' setting takes precedence")
    }
}
