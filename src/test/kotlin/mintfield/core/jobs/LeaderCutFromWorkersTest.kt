package mintfield.core.jobs

import mintfield.Fixtures
import mintfield.core.CommitResult
import mintfield.core.HeartbeatResponse
import mintfield.core.Scheduler
import mintfield.core.Write
import mintfield.core.constants.WorkerConstants
import mintfield.core.model.TaskState
import mintfield.core.model.TaskStatus
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A leader that can reach the store and its peers but no workers. */
class LeaderCutFromWorkersTest {
    private val zones = listOf("north", "south")
    private var sequence = 0L

    private fun scheduler(
        relayed: Set<String> = emptySet(),
        viaRelayPeer: Set<String> = emptySet(),
    ): Scheduler {
        val scheduler = Scheduler(Fixtures.settings, 1) {}
        scheduler.fleet.machineTypesRead(listOf(Fixtures.box), 0)
        scheduler.replay.complete(0)
        repeat(24) { "m-%03d".format(it).let { id -> scheduler.heartbeatOf(id, 1_000, id in relayed, id in viaRelayPeer) } }
        scheduler.jobChanged(Fixtures.accepted(Fixtures.spec("wk-000001", tasks = 96), 1), 1_000)
        scheduler.commit(1_000)
        return scheduler
    }

    private fun Scheduler.heartbeatOf(
        machine: String,
        nowMs: Long,
        relayed: Boolean = false,
        viaRelayPeer: Boolean = false,
    ): HeartbeatResponse {
        val zone = zones[machine.takeLast(1).toInt() % 2]
        val tasks =
            cluster.machines[machine]
                ?.attempts
                .orEmpty()
                .filter { it.startSent }
                .map { TaskStatus(cluster.taskId(it), it.number, TaskState.RUNNING, null) }
        return heartbeat(Fixtures.heartbeat(machine, ++sequence, cluster.term, *tasks.toTypedArray(), zone = zone), true, nowMs, relayed, viaRelayPeer)
    }

    private fun Scheduler.commit(nowMs: Long): List<Write> =
        nextCommit(nowMs, nowMs, 16)
            ?.also { committed(it, CommitResult.Done(nowMs), nowMs) }
            ?.writes
            .orEmpty()

    private fun Scheduler.zoneFences(reporting: Set<String>): Int {
        cluster.machines.keys
            .toList()
            .forEach { heartbeatOf(it, 2_000) }
        reporting.forEach { heartbeatOf(it, 7_000) }
        tick(7_000)
        return commit(7_000).filterIsInstance<Write.FenceZone>().sumOf { it.record.machines.size }
    }

    @Test
    fun `no zone is fenced if no zone sends heartbeats`() {
        // Guards against fencing all zones: each relayed heartbeat would wait for a transaction, after a third of the worker's lease has elapsed.
        assertEquals(0, scheduler().zoneFences(emptySet()))
        val south = (1..23 step 2).map { "m-%03d".format(it) }.toSet()
        assertEquals(12, scheduler().zoneFences(south), "one zone without heartbeats while another sends them: a partition of that zone")
    }

    @Test
    fun `direct calls are reduced to single probes when none gets a response`() {
        // Guards against starts of unknown outcome on every machine: each blocks its task until the term is raised.
        val scheduler = scheduler()
        scheduler.directCalls(1_100, WorkerConstants.DIRECT_PATH_LOST_AFTER).forEach { scheduler.directCallUnanswered(it, sent = true, 2_600) }
        val next = scheduler.directCalls(2_700, 32)
        assertEquals(1, next.size, "one probe, of eighteen machines with tasks to start")
        assertEquals(0, scheduler.directCalls(2_800, 32).size)
        scheduler.directCallResponded(next.single(), null, 2_900)
        assertEquals(17, scheduler.directCalls(2_700 + WorkerConstants.DIRECT_PATH_PROBE_MS, 32).size, "one call got a response")
    }

    @Test
    fun `a relayed machine gets its starts with heartbeat responses only`() {
        // Guards against another start of unknown outcome. A worker that was redirected to the peer can still be called directly.
        val scheduler = scheduler(relayed = setOf("m-000", "m-001"), viaRelayPeer = setOf("m-001"))
        val called = scheduler.directCalls(1_100, 32).map { it.machine }
        assertTrue("m-000" !in called)
        assertTrue("m-001" in called)
        assertEquals(23, called.size)
    }
}
