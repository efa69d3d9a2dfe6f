package mintfield.golden

import mintfield.Fixtures
import mintfield.app.ExternalServices
import mintfield.app.leader.DirectCallSender
import mintfield.core.CommitResult
import mintfield.core.Scheduler
import mintfield.core.model.ExitReason
import mintfield.core.model.Heartbeat
import mintfield.core.model.TaskId
import mintfield.core.model.TaskState
import mintfield.core.model.TaskStatus
import mintfield.core.model.WorkerCommand
import mintfield.io.worker.CommandCodec
import mintfield.io.worker.HeartbeatCodec
import mintfield.loopback.await
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.concurrent.atomic.AtomicBoolean

/** Pins the commands to workers, and how their heartbeats are read. */
class WorkerProtocolGoldenTest {
    private fun heartbeat(name: String): Heartbeat = HeartbeatCodec.decode(GoldenFile.bytes("worker/$name.json"))!!

    @Test
    fun `commands are encoded with and without an incarnation`() {
        val task = TaskId("ab-000412", 17)
        val commands =
            listOf(
                WorkerCommand.Start(task, 262_144_000_000_001),
                WorkerCommand.Stop(task, 2, 7.5),
                WorkerCommand.Stop(task, 3, 0.0),
                WorkerCommand.Acknowledge(task, 4),
            )
        GoldenFile.check("worker/orders.json", CommandCodec.encode(4_000_000_000, null, commands))
        GoldenFile.check("worker/orders-direct.json", CommandCodec.encode(5, 3, commands.take(1)))
        GoldenFile.check("worker/orders-none.json", CommandCodec.encode(5, null, emptyList()))
    }

    @Test
    fun `direct commands are sent to a worker on their own path`() {
        RecordedCalls().use { worker ->
            val services = ExternalServices(Fixtures.settings, worker.loop, worker.group)
            val scheduler = Scheduler(Fixtures.settings, 9) {}
            val responded = AtomicBoolean()
            worker.respondingOnceWith(RecordedCalls.CannedResponse(200, GoldenFile.text("worker/report.json"))) {
                val now = worker.loop.nowMs()
                scheduler.fleet.machineTypesRead(listOf(Fixtures.box), now)
                scheduler.replay.complete(now)
                scheduler.heartbeat(Fixtures.heartbeat("m-000001", 1, 9).copy(address = worker.address), true, now)
                scheduler.jobChanged(Fixtures.accepted(Fixtures.spec("wk-000001"), 1), now)
                scheduler.committed(scheduler.nextCommit(now, now, 16)!!, CommitResult.Done(9), now)
                DirectCallSender(worker.loop, worker.scope, services, scheduler) { responded.set(true) }.sendDue()
            }
            GoldenFile.check("worker/asked-commands.txt", worker.takeRequests())
            await("the response is processed") { responded.get() }
        }
    }

    @Test
    fun `a heartbeat is read complete, with required fields only, and with unknown fields`() {
        val task = TaskStatus(TaskId("ab-000412", 17), 262_144_000_000_001, TaskState.RUNNING, null)
        assertEquals(Heartbeat("m-000001", "10.1.0.1:9000", "box", "north", true, 3, 12, 4_000_000_000, 4.5, listOf(task)), heartbeat("report"))
        assertEquals(Heartbeat("m-000002", "", "", "", false, 0, 0, 0, null, emptyList()), heartbeat("report-least"))
        assertEquals(Heartbeat("m-000003", "10.1.0.3:9000", "barrel", "south", false, 1, 2, 0, null, emptyList()), heartbeat("report-notice-null"))
    }

    @Test
    fun `each state and exit reason of a task is read`() {
        val states =
            listOf(TaskState.PULLING, TaskState.PULLING, TaskState.RUNNING) +
                listOf(TaskState.CHECKPOINTING, TaskState.ENDED, TaskState.RUNNING)
        assertEquals(states, heartbeat("report-states").tasks.map { it.state })
        val causes =
            listOf(
                ExitReason.DONE,
                ExitReason.STOPPED,
                ExitReason.ERROR,
                ExitReason.INSUFFICIENT_RESOURCES,
                ExitReason.ALREADY_RUNNING,
                ExitReason.UNKNOWN_TASK,
            ) +
                listOf(ExitReason.GANG_INCOMPLETE, ExitReason.GANG_INCOMPLETE, ExitReason.UNKNOWN, null)
        assertEquals(causes, heartbeat("report-causes").tasks.map { it.cause })
    }

    @Test
    fun `a task is named by its job and number`() {
        assertEquals("ab-000412/17", TaskId("ab-000412", 17).toString())
        assertEquals(TaskId("ab-000412", 17), TaskId.parse("ab-000412/17"))
    }
}
