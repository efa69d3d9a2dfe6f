package mintfield.core.leadership

import mintfield.Fixtures
import mintfield.core.HeartbeatResponse
import mintfield.core.Scheduler
import mintfield.core.model.TaskId
import mintfield.core.model.TaskState
import mintfield.core.model.TaskStatus
import mintfield.core.model.WorkerCommand
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class LeaseRenewalLimitTest {
    private val limit = LeaseRenewalLimit(Fixtures.settings.copy(leaseS = 10.0, cancelS = 40.0))

    @Test
    fun `a worker renewed without current cancellations loses its lease before a cancelled task must have ended`() {
        // Guards against ran_cancelled in a partition longer than cancel_s with the leader and its workers on the same side.
        val last = (0L..60_000L).last { limit.allows(it) }
        assertTrue(last + 10_000 < 40_000, "renewed $last ms after the last contact, its lease would end at ${last + 10_000}")
        assertTrue(last > 20_000, "a zone that is partitioned together with its leader keeps running for as long as that is safe")
    }

    @Test
    fun `a leader past its lease stops cancelled tasks, also before its replay, and renews the lease for the machine's other tasks`() {
        // Guards against ran_cancelled in an outage that begins between a cancellation and the stop of its tasks.
        fun Scheduler.commands(knownToMs: Long): HeartbeatResponse {
            val tasks = listOf("wk-1", "wk-2").map { TaskStatus(TaskId(it, 0), 65_536, TaskState.RUNNING, null) }
            return heartbeat(Fixtures.heartbeat("m-1", 1, 1, *tasks.toTypedArray()), mayAct = false, nowMs = 90_000, cancellationsToMs = knownToMs)
        }
        val stop = HeartbeatResponse.Commands(1, listOf(WorkerCommand.Stop(TaskId("wk-2", 0), 65_536, 0.0)))
        val loading = Scheduler(Fixtures.settings, 1, { it == "wk-2" }) { }
        loading.zoneFencing.recordsRead()
        assertEquals(stop, loading.commands(89_000))
        assertEquals(HeartbeatResponse.RenewalRefused, loading.commands(50_000), "tasks of jobs whose cancellation may be unknown must not be renewed")
        val loaded = Scheduler(Fixtures.settings, 1) { }
        loaded.fleet.machineTypesRead(listOf(Fixtures.box), 0)
        loaded.replay.complete(0)
        for (id in listOf("wk-1", "wk-2")) loaded.jobChanged(Fixtures.accepted(Fixtures.spec(id), 5), 0)
        loaded.cancellationConfirmed("wk-2", 1_000)
        assertEquals(stop, loaded.commands(89_000))
        assertEquals(HeartbeatResponse.RenewalRefused, loaded.commands(50_000))
    }
}
