package mintfield

import mintfield.core.ReportAnswer
import mintfield.core.Scheduler
import mintfield.core.Tuning
import mintfield.core.model.Order
import mintfield.core.model.ReportedState
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
    fun `what a sibling tells as cancelled before the replay is halted with each renewal, and stays withdrawn after it`() {
        // Guards against ran_cancelled when the state service falls silent between an election and its replay: the sibling's word
        // lets renewals go on, and the leader's own view does not show the cancellation.
        val task = Fixtures.task("wk-1/0", 65_536, ReportedState.RUNNING)
        val halt = ReportAnswer.Orders(7, listOf(Order.Halt(task.task, task.attempt, 0.0)))

        fun answer(
            tally: Long,
            nowMs: Long,
        ) = scheduler.report(Fixtures.report("m-1", tally, 7, task), mayAct = true, nowMs = nowMs)
        assertEquals(ReportAnswer.Orders(7, emptyList()), answer(1, 100))
        scheduler.withdrawnElsewhere("wk-1", 200)
        assertEquals(halt, answer(2, 300))
        scheduler.types(listOf(Fixtures.box), 400)
        scheduler.jobChanged(Fixtures.accepted(Fixtures.spec("wk-1"), mark = 3), 400)
        scheduler.replayDone(400)
        assertTrue(
            scheduler.cluster.jobs
                .getValue("wk-1")
                .withdrawn,
        )
        assertEquals(halt, answer(3, 500))
    }

    @Test
    fun `the longest wait for renewals leaves most of a lease`() {
        assertTrue(Tuning.RENEWALS_FIRST_MS < Fixtures.settings.leaseS * 1000 / 2)
        assertTrue(Tuning.RENEWALS_FIRST_MS < Tuning.LEADER_LEASE_MS)
    }
}
