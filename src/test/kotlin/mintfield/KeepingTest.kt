package mintfield

import mintfield.core.Timings
import mintfield.core.leadership.Keeping
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class KeepingTest {
    private val keeping = Keeping(Fixtures.settings.copy(leaseS = 10.0, cancelS = 40.0))

    @Test
    fun `what a leader cut off alone renews has lost its lease before a cancelled task counts as running`() {
        // Guards against ran_cancelled in a cut that lasts longer than cancel_s with the leader and its workers inside.
        val last = (0L..60_000L).last { keeping.mayRenew(it, maybeAlone = true, cancelledHere = false) }
        assertTrue(last + 10_000 < 40_000, "renewed $last ms after the last contact, its lease would end at ${last + 10_000}")
        assertTrue(last > 20_000, "a zone that is cut off with its leader goes on for as long as that is safe")
    }

    @Test
    fun `a worker that holds a cancelled task is not renewed by a leader that may be cut off`() {
        assertFalse(keeping.mayRenew(100, maybeAlone = true, cancelledHere = true))
    }

    @Test
    fun `in an outage for all, workers keep their leases to its end`() {
        assertTrue(keeping.mayRenew(600_000, maybeAlone = false, cancelledHere = false))
    }

    @Test
    fun `times that follow from leases and reports keep their order at every site`() {
        for ((report, lease) in listOf(0.5 to 5.0, 1.0 to 10.0, 1.5 to 10.75, 3.0 to 17.5, 5.0 to 30.0)) {
            val t = Timings(Fixtures.settings.copy(reportS = report, leaseS = lease))
            val longest = (report * 1250).toLong()
            val leaseMs = (lease * 1000).toLong()
            assertTrue(t.freshReportMs > longest + 2_000, "an honest report of $report s is late at most by a lost packet")
            assertTrue(t.freshReportMs < leaseMs, "silence shows before the lease of $lease s ends")
            assertTrue(t.relayAfterMs > longest && t.settleMs > longest, "one interval of $report s is not silence")
            assertTrue(t.replayedReturnMs > leaseMs && t.silentReturnMs > leaseMs + 8_000, "nothing is returned that may come back within $lease s")
            assertTrue(t.leaseEndedMs > leaseMs, "proof by lease comes after the lease")
            assertTrue(t.unlistedReturnMs > longest, "a machine may report before it is returned")
        }
        val own = Fixtures.settings.copy(operator = Fixtures.settings.operator.copy(silentReturnMs = 12_345))
        assertEquals(12_345, Timings(own).silentReturnMs, "the operators' own word counts")
    }
}
