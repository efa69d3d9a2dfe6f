package mintfield.golden

import mintfield.Fixtures
import mintfield.app.DirectCommandSender
import mintfield.app.Outside
import mintfield.core.CommitResult
import mintfield.core.Scheduler
import mintfield.core.model.EndCause
import mintfield.core.model.Order
import mintfield.core.model.Report
import mintfield.core.model.ReportedState
import mintfield.core.model.ReportedTask
import mintfield.core.model.TaskId
import mintfield.io.worker.WorkerCodec
import mintfield.standin.await
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.concurrent.atomic.AtomicBoolean

/** What workers are told and what they report. */
class WorkerProtocolGoldenTest {
    private fun report(name: String): Report = WorkerCodec.report(GoldenFile.bytes("worker/$name.json"))!!

    @Test
    fun `orders are written with and without a season`() {
        val task = TaskId("ab-000412", 17)
        val orders = listOf(Order.Run(task, 262_144_000_000_001), Order.Halt(task, 2, 7.5), Order.Halt(task, 3, 0.0), Order.Clear(task, 4))
        GoldenFile.check("worker/orders.json", WorkerCodec.orders(4_000_000_000, null, orders))
        GoldenFile.check("worker/orders-direct.json", WorkerCodec.orders(5, 3, orders.take(1)))
        GoldenFile.check("worker/orders-none.json", WorkerCodec.orders(5, null, emptyList()))
    }

    @Test
    fun `orders are sent to a worker on its own path`() {
        RecordedCalls().use { worker ->
            val outside = Outside(Fixtures.settings, worker.loop, worker.group)
            val scheduler = Scheduler(Fixtures.settings, 9) {}
            val answered = AtomicBoolean()
            worker.sending(RecordedCalls.Answer(200, GoldenFile.text("worker/report.json"))) {
                val now = worker.loop.nowMs()
                scheduler.types(listOf(Fixtures.box), now)
                scheduler.replayDone(now)
                scheduler.report(Fixtures.report("m-000001", 1, 9).copy(address = worker.address), true, now)
                scheduler.jobChanged(Fixtures.accepted(Fixtures.spec("wk-000001"), 1), now)
                scheduler.committed(scheduler.nextCommit(now, now, 16)!!, CommitResult.Done(9), now)
                DirectCommandSender(worker.loop, worker.scope, outside, scheduler) { answered.set(true) }.send()
            }
            GoldenFile.check("worker/asked-commands.txt", worker.takeRequests())
            await("the answer is taken in") { answered.get() }
        }
    }

    @Test
    fun `a report is read whole, with the least that it may have, and with fields of later versions`() {
        val task = ReportedTask(TaskId("ab-000412", 17), 262_144_000_000_001, ReportedState.RUNNING, null)
        assertEquals(Report("m-000001", "10.1.0.1:9000", "box", "north", true, 3, 12, 4_000_000_000, 4.5, listOf(task)), report("report"))
        assertEquals(Report("m-000002", "", "", "", false, 0, 0, 0, null, emptyList()), report("report-least"))
        assertEquals(Report("m-000003", "10.1.0.3:9000", "barrel", "south", false, 1, 2, 0, null, emptyList()), report("report-notice-null"))
    }

    @Test
    fun `each state and cause of a task is read`() {
        val states =
            listOf(ReportedState.PULLING, ReportedState.PULLING, ReportedState.RUNNING) +
                listOf(ReportedState.SAVING, ReportedState.ENDED, ReportedState.RUNNING)
        assertEquals(states, report("report-states").tasks.map { it.state })
        val causes =
            listOf(EndCause.DONE, EndCause.STOPPED, EndCause.ERROR, EndCause.NO_ROOM, EndCause.IN_USE, EndCause.NO_SUCH) +
                listOf(EndCause.PEERS, EndCause.PEERS, EndCause.UNKNOWN, null)
        assertEquals(causes, report("report-causes").tasks.map { it.cause })
    }

    @Test
    fun `a task is named by its job and number`() {
        assertEquals("ab-000412/17", TaskId("ab-000412", 17).toString())
        assertEquals(TaskId("ab-000412", 17), TaskId.parse("ab-000412/17"))
    }
}
