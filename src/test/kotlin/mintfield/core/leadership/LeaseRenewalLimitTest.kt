package mintfield.core.leadership

import mintfield.Fixtures
import mintfield.core.HeartbeatResponse
import mintfield.core.Scheduler
import mintfield.core.Timings
import mintfield.core.constants.PeerConstants
import mintfield.core.model.TaskId
import mintfield.core.model.TaskState
import mintfield.core.model.TaskStatus
import mintfield.core.model.WorkerCommand
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class LeaseRenewalLimitTest {
    private val bound = LeaseRenewalLimit(Fixtures.settings.copy(leaseS = 10.0, cancelS = 40.0))
    private val cancellationWatermark = CancellationWatermark(listOf("plot-1", "plot-2"))
    private val logs = mapOf("plot-1" to CancellationLog(1), "plot-2" to CancellationLog(2))

    private fun read(
        peer: String,
        log: CancellationLog,
        askedAtMs: Long,
        nowMs: Long = askedAtMs + 5,
    ) = cancellationWatermark.progressOf(peer).let { (incarnation, next) ->
        cancellationWatermark.answered(peer, log.after(incarnation, next), askedAtMs, nowMs)
    }

    private fun readAll(askedAtMs: Long) = logs.forEach { (peer, log) -> read(peer, log, askedAtMs) }

    @Test
    fun `what a leader renews without hearing of cancellations has lost its lease before a cancelled task counts as running`() {
        // Guards against ran_cancelled in a cut that lasts longer than cancel_s with the leader and its workers inside.
        val last = (0L..60_000L).last { bound.allows(it) }
        assertTrue(last + 10_000 < 40_000, "renewed $last ms after the last contact, its lease would end at ${last + 10_000}")
        assertTrue(last > 20_000, "a zone that is cut off with its leader goes on for as long as that is safe")
    }

    @Test
    fun `a leader past its lease halts what is cancelled, before its replay too, and renews what else the machine holds`() {
        // Guards against ran_cancelled in an outage that begins between a cancellation and its stop.
        fun Scheduler.commands(knownToMs: Long): HeartbeatResponse {
            val tasks = listOf("wk-1", "wk-2").map { TaskStatus(TaskId(it, 0), 65_536, TaskState.RUNNING, null) }
            return heartbeat(Fixtures.heartbeat("m-1", 1, 1, *tasks.toTypedArray()), mayAct = false, nowMs = 90_000, cancellationsToMs = knownToMs)
        }
        val halt = HeartbeatResponse.Commands(1, listOf(WorkerCommand.Stop(TaskId("wk-2", 0), 65_536, 0.0)))
        val loading = Scheduler(Fixtures.settings, 1, { it == "wk-2" }) { }
        loading.zoneFencing.read = true
        assertEquals(halt, loading.commands(89_000))
        assertEquals(HeartbeatResponse.RenewalRefused, loading.commands(50_000), "what it may not know of it must not keep")
        val loaded = Scheduler(Fixtures.settings, 1) { }
        loaded.types(listOf(Fixtures.box), 0)
        loaded.replay.complete(0)
        for (id in listOf("wk-1", "wk-2")) loaded.jobChanged(Fixtures.accepted(Fixtures.spec(id), 5), 0)
        loaded.cancellationConfirmedByPeer("wk-2", 1_000)
        assertEquals(halt, loaded.commands(89_000))
        assertEquals(HeartbeatResponse.RenewalRefused, loaded.commands(50_000))
    }

    @Test
    fun `in an outage for all, the siblings' words keep the leases to its end`() {
        cancellationWatermark.viewed(1_000)
        readAll(900)
        cancellationWatermark.viewed(2_000)
        for (at in 2_500L..600_000L step 1_000) readAll(at)
        assertTrue(bound.allows(601_000 - cancellationWatermark.upToMs()))
        val alone = CancellationWatermark(emptyList())
        assertFalse(bound.allows(600_000 - alone.upToMs()), "what an earlier process told is not read yet")
        alone.viewed(1_000)
        assertTrue(bound.allows(600_000 - alone.upToMs()), "nobody else tells users anything")
    }

    @Test
    fun `one sibling's silence, new process or unread rest proves nothing`() {
        // Guards against ran_cancelled where a controller that has told users of cancellations crashes or is cut off in an outage.
        readAll(900)
        cancellationWatermark.viewed(2_000)
        readAll(3_000)
        assertEquals(3_000, cancellationWatermark.upToMs())
        read("plot-1", logs.getValue("plot-1"), 4_000)
        assertEquals(3_000, cancellationWatermark.upToMs(), "plot-2 is silent")
        val again = CancellationLog(3)
        for (at in 5_000L..60_000L step 1_000) {
            read("plot-1", logs.getValue("plot-1"), at)
            read("plot-2", again, at)
        }
        assertEquals(2_000, cancellationWatermark.upToMs(), "what its earlier process told is lost, but for what the store showed")
        cancellationWatermark.viewed(61_000)
        readAll(62_000)
        read("plot-2", again, 62_000)
        assertEquals(61_000, cancellationWatermark.upToMs(), "a process that was first heard after the last reading")
        read("plot-1", logs.getValue("plot-1"), 63_000)
        read("plot-2", again, 63_000)
        cancellationWatermark.viewed(64_000)
        read("plot-1", logs.getValue("plot-1"), 70_000, nowMs = 95_000)
        read("plot-2", again, 71_000, nowMs = 96_000)
        assertEquals(70_000, cancellationWatermark.upToMs(), "an answer that was held up speaks for when it was asked")
        repeat(PeerConstants.MIN_CANCELLATIONS_PER_PAGE + 1) { again.append("wk-$it") }
        read("plot-1", logs.getValue("plot-1"), 100_000)
        read("plot-2", again, 100_000)
        assertEquals(71_000, cancellationWatermark.upToMs(), "a part of its log is still to come")
        read("plot-2", again, 101_000)
        assertEquals(100_000, cancellationWatermark.upToMs())
        repeat(PeerConstants.MIN_CANCELLATIONS_KEPT + 1) { again.append("wj-$it") }
        read("plot-1", logs.getValue("plot-1"), 110_000)
        repeat(9) { read("plot-2", again, 110_000) }
        assertEquals(64_000, cancellationWatermark.upToMs(), "entries were dropped before they were read")
    }

    @Test
    fun `a log is read once, in order, and tells each job once`() {
        val log = CancellationLog(7)
        repeat(2) { listOf("wk-1", "wk-2").forEach(log::append) }
        assertEquals(CancellationPage(7, 0, listOf("wk-1", "wk-2"), 2), log.after(9, 55))
        log.append("wk-3")
        assertEquals(CancellationPage(7, 2, listOf("wk-3"), 3), log.after(7, 2))
    }

    @Test
    fun `times that follow from leases and reports keep their order at every site`() {
        for ((heartbeat, lease) in listOf(0.5 to 5.0, 1.0 to 10.0, 1.5 to 10.75, 3.0 to 17.5, 5.0 to 30.0)) {
            val t = Timings(Fixtures.settings.copy(heartbeatIntervalS = heartbeat, leaseS = lease))
            val longest = (heartbeat * 1250).toLong()
            val leaseMs = (lease * 1000).toLong()
            assertTrue(t.heartbeatTimeoutMs > longest + 2_000, "an honest report of $heartbeat s is late at most by a lost packet")
            assertTrue(t.heartbeatTimeoutMs < leaseMs, "silence shows before the lease of $lease s ends")
            assertTrue(t.relayAfterMs > longest && t.settleMs > longest, "one interval of $heartbeat s is not silence")
            assertTrue(t.replayedReleaseMs > leaseMs && t.unresponsiveReleaseMs > leaseMs + 8_000, "nothing is returned that may come back within $lease s")
            assertTrue(t.leaseExpiryMs > leaseMs, "proof by lease comes after the lease")
            assertTrue(t.unlistedReleaseMs > longest, "a machine may report before it is returned")
        }
        val own = Fixtures.settings.copy(operator = Fixtures.settings.operator.copy(unresponsiveReleaseMs = 12_345))
        assertEquals(12_345, Timings(own).unresponsiveReleaseMs, "the operators' own word counts")
    }
}
