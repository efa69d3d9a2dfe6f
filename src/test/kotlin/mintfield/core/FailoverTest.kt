package mintfield.core

import mintfield.Fixtures
import mintfield.core.constants.LeadershipConstants
import mintfield.core.model.TaskState
import mintfield.core.model.WorkerCommand
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class FailoverTest {
    private val scheduler = Scheduler(Fixtures.settings, 7) { }.also { it.zoneFencing.recordsRead() }

    private fun heartbeat(
        machine: String,
        sequence: Long,
        nowMs: Long,
    ) = scheduler.heartbeat(Fixtures.heartbeat(machine, sequence, 1), mayAct = true, nowMs = nowMs)

    @Test
    fun `a new leader renews leases before its replay, without commands`() {
        assertEquals(HeartbeatResponse.Commands(7, emptyList()), heartbeat("m-1", 1, 100))
    }

    @Test
    fun `the replay waits only while workers send their first heartbeats`() {
        // Guards against leases that expire during a slow replay.
        assertFalse(scheduler.heartbeats.receivesFirstHeartbeats(100), "no heartbeat received yet")
        heartbeat("m-1", 1, 100)
        heartbeat("m-2", 1, 300)
        assertTrue(scheduler.heartbeats.receivesFirstHeartbeats(300 + LeadershipConstants.FIRST_HEARTBEATS_QUIET_MS - 1))
        heartbeat("m-1", 2, 500)
        assertFalse(
            scheduler.heartbeats.receivesFirstHeartbeats(300 + LeadershipConstants.FIRST_HEARTBEATS_QUIET_MS),
            "a later heartbeat of the same worker is not its first",
        )
    }

    @Test
    fun `a cancellation that a peer confirms before the replay stops the tasks at each renewal, during the replay and after it`() {
        // Guards against ran_cancelled when the store becomes unresponsive between an election and the replay: the peer's
        // confirmation permits renewals, but the leader's own view does not show the cancellation.
        val task = Fixtures.task("wk-1/0", 65_536, TaskState.RUNNING)
        val stop = HeartbeatResponse.Commands(7, listOf(WorkerCommand.Stop(task.task, task.attempt, 0.0)))

        fun respond(
            sequence: Long,
            nowMs: Long,
        ) = scheduler.heartbeat(Fixtures.heartbeat("m-1", sequence, 7, task), mayAct = true, nowMs = nowMs)
        assertEquals(HeartbeatResponse.Commands(7, emptyList()), respond(1, 100))
        scheduler.cancellationConfirmed("wk-1", 200)
        assertEquals(stop, respond(2, 300))
        scheduler.fleet.machineTypesRead(listOf(Fixtures.box), 400)
        scheduler.jobChanged(Fixtures.accepted(Fixtures.spec("wk-1"), revision = 3), 400)
        scheduler.replay.complete(400)
        assertTrue(
            scheduler.cluster.jobs
                .getValue("wk-1")
                .cancelled,
        )
        assertEquals(stop, respond(3, 500))
    }

    @Test
    fun `the maximum replay delay is less than half of a worker's lease and than the leader's lease`() {
        assertTrue(LeadershipConstants.MAX_REPLAY_DELAY_MS < Fixtures.settings.leaseS * 1000 / 2)
        assertTrue(LeadershipConstants.MAX_REPLAY_DELAY_MS < LeadershipConstants.LEADER_LEASE_MS)
    }
}
