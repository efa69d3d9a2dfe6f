package mintfield

import mintfield.core.ReportAnswer
import mintfield.core.Scheduler
import mintfield.core.Tuning
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class TakeOverTest {
    private val scheduler = Scheduler(Fixtures.settings, 7) { }.also { it.disowning.read = true }

    private fun report(
        machine: String,
        tally: Long,
        nowMs: Long,
    ) = scheduler.report(Fixtures.report(machine, tally, 1), mayAct = true, nowMs = nowMs)

    @Test
    fun `a new leader renews workers before its replay, without orders`() {
        assertEquals(ReportAnswer.Orders(7, emptyList()), report("m-1", 1, 100))
    }

    @Test
    fun `the replay waits while workers come for the first time, and no longer`() {
        // Guards against leases that run out while a slow leader replays.
        assertFalse(scheduler.renewing(100), "nobody has come")
        report("m-1", 1, 100)
        report("m-2", 1, 300)
        assertTrue(scheduler.renewing(300 + Tuning.RENEWALS_QUIET_MS - 1))
        report("m-1", 2, 500)
        assertFalse(scheduler.renewing(300 + Tuning.RENEWALS_QUIET_MS), "a worker that comes again was renewed before")
    }

    @Test
    fun `the longest wait for renewals leaves most of a lease`() {
        assertTrue(Tuning.RENEWALS_FIRST_MS < Fixtures.settings.leaseS * 1000 / 2)
        assertTrue(Tuning.RENEWALS_FIRST_MS < Tuning.LEADER_LEASE_MS)
    }
}
