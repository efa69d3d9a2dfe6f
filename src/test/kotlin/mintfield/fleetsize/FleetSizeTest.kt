package mintfield.fleetsize

import mintfield.Fixtures
import mintfield.app.api.Progress
import mintfield.app.peer.PeerProgress
import mintfield.app.peer.ProgressPager
import mintfield.core.ConnectionLimits
import mintfield.core.FleetCapacityCheck
import mintfield.core.LearnedState
import mintfield.core.LearnedStateBlocks
import mintfield.core.Scheduler
import mintfield.core.Write
import mintfield.core.constants.FleetConstants
import mintfield.core.constants.PeerConstants
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.ReleasedMachines
import mintfield.core.leadership.CancellationLog
import mintfield.core.model.OperatorSettings
import mintfield.core.model.Peer
import mintfield.io.settings.OperatorFile
import mintfield.io.settings.SettingsFault
import mintfield.io.store.LearnedStateCodec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.lang.management.ManagementFactory

/** Bounds and costs of the controller that must not limit a fleet of 4,000 machines. */
class FleetSizeTest {
    private val machines = 4_000
    private val settings = Fixtures.settings.copy(maxSockets = 8_000)

    private fun machineId(number: Int) = "m-%06d".format(number)

    @Test
    fun `connection limits grow with the number of sockets and have a minimum on small controllers`() {
        val small = ConnectionLimits(Fixtures.settings)
        assertEquals(listOf(420, 32, 12, 64), listOf(small.incoming, small.directCalls, small.maxConcurrentRelays, small.peerConnections))
        val peers = listOf("plot-1", "plot-2").map { Peer(it, "north", "127.0.0.1:1") }
        val large = ConnectionLimits(settings.copy(peers = peers))
        assertTrue(large.maxKeepAliveMachines(otherConnections = 400) >= machines)
        assertTrue(
            large.peerConnections >= 2 * large.maxConcurrentRelays,
            "${large.peerConnections} connections for 2 times ${large.maxConcurrentRelays} relays",
        )
    }

    @Test
    fun `too few sockets and too little heap for the expected fleet are reported`() {
        fun shortages(
            sockets: Int,
            heapMb: Long,
            expected: Int? = machines,
        ) = FleetCapacityCheck(settings.copy(maxSockets = sockets, operator = OperatorSettings(fleetMachines = expected))).shortages(heapMb shl 20)
        assertEquals(emptyList<String>(), shortages(8_000, 1_000))
        assertEquals(emptyList<String>(), shortages(600, 100, expected = null))
        assertEquals(
            listOf("max_sockets 600 allows persistent connections for 336 of 4000 workers: the others reconnect for each heartbeat"),
            shortages(600, 1_000),
        )
        assertTrue(shortages(8_000, 60).single().startsWith("the heap of 60 MB is small for 4000 machines: run with -Xmx"))
    }

    @Test
    fun `the expected fleet size is read from the operators' file, and an invalid one is refused with its field and the reason`() {
        assertEquals(machines, OperatorFile.parse("fleet {\n machines = 4000\n}\n", "o.hcl").fleetMachines)
        assertNull(OperatorFile.parse("", "o.hcl").fleetMachines)
        for ((value, found) in mapOf("0" to "0.0", "\"many\"" to "many")) {
            val fault = assertThrows(SettingsFault::class.java) { OperatorFile.parse("fleet {\n machines = $value\n}\n", "o.hcl") }
            assertEquals("o.hcl: fleet.machines: expected a number from 1.0 to 1000000.0, found $found", fault.message)
        }
    }

    @Test
    fun `released machines are remembered until late messages must have arrived, regardless of their number`() {
        val released = ReleasedMachines()
        repeat(machines) { released.add(machineId(it), 1_000L + it) }
        assertEquals(machines, released.size)
        assertTrue(machineId(0) in released)
        released.add("m-999999", FleetConstants.RELEASED_NAMES_KEPT_MS + 1_000 + machines)
        assertFalse(machineId(machines - 1) in released)
        assertEquals(1, released.size)
    }

    @Test
    fun `the learned state of thousands of machines is split completely into values within the size limit`() {
        val images = (0 until machines).associate { i -> machineId(i) to (0..7).map { "img-${(i + it * 5) % 60}" } }
        val learnedState = LearnedState(images.values.flatten().associateWith { 1.5 }, images, mapOf("slice" to 0.25), mapOf("wk-1" to 3))
        val blocks = LearnedStateBlocks.pack(learnedState, maxBytes = 6_800)
        val read =
            blocks.map { LearnedStateCodec.encode(it, maxBytes = 8_000) }.map { bytes ->
                LearnedStateCodec.decode(
                    mintfield.io.json.Json
                        .parseObject(bytes)!!,
                )
            }
        assertEquals(images, read.fold(emptyMap<String, List<String>>()) { all, block -> all + block.machineImages })
        assertTrue(
            read.all { block ->
                block.machineImages.values
                    .flatten()
                    .all { it in block.imageGb }
            },
        )
        assertEquals(listOf(mapOf("wk-1" to 3)), read.map { it.suspectJobs }.filter { it.isNotEmpty() })
        assertEquals(mapOf("slice" to 0.25), read.first().logRatio)
    }

    @Test
    fun `peer statuses carry the progress of all jobs in pages, and a peer keeps it until it times out`() {
        val progress = (0 until 10_000).associateTo(LinkedHashMap()) { "wk-$it" to Progress(it, 1) }
        val pager = ProgressPager()
        val peerProgress = PeerProgress()
        repeat(5) { second -> peerProgress.update(pager.next(progress), progress.size, second * PeerConstants.PEER_STATUS_INTERVAL_MS) }
        assertTrue(progress.all { (id, it) -> peerProgress[id]?.done == it.done })
        peerProgress.update(pager.next(progress), progress.size, PeerConstants.PROGRESS_TIMEOUT_MS + 4_500)
        assertNull(peerProgress["wk-9999"])
        assertEquals(0, peerProgress["wk-0"]?.done)
        peerProgress.update(pager.next(mapOf("wk-7" to Progress(8, 0))), 1, PeerConstants.PROGRESS_TIMEOUT_MS + 5_000)
        assertEquals(8, peerProgress["wk-7"]?.done)
        assertNull(peerProgress["wk-0"])
    }

    @Test
    fun `the cancellation log keeps as many jobs as the write rate of the store allows to be cancelled`() {
        val size = CancellationLog.Size.of(settings.copy(stateWriteRps = 200.0, cancelS = 40.0))
        assertTrue(size.kept >= 200 * 40 && size.page >= 200, "$size")
        val log = CancellationLog(1, size)
        repeat(size.kept) { log.append("wk-$it") }
        assertEquals(0, log.pageFrom(1, 0).from)
        assertEquals(size.page, log.pageFrom(1, 0).ids.size)
        assertEquals(
            CancellationLog.Size(PeerConstants.MIN_CANCELLATIONS_KEPT, PeerConstants.MIN_CANCELLATIONS_PER_PAGE),
            CancellationLog.Size.of(Fixtures.settings),
        )
    }

    /** The bound on CPU time includes a margin for slow machines. */
    @Test
    fun `the CPU time of a round stays bounded with thousands of machines and thousands of jobs that do not fit`() {
        val scheduler = scheduler(machines)
        repeat(5_000) { scheduler.jobChanged(Fixtures.accepted(Fixtures.spec("wk-$it", tasks = 16, image = "img-${it % 12}"), it + 2L), 1) }
        var now = 2_000L
        commit(scheduler, now)
        val threads = ManagementFactory.getThreadMXBean()
        val startNanos = threads.currentThreadCpuTime
        repeat(ROUNDS) {
            now += 300
            commit(scheduler, now)
        }
        val spentMs = (threads.currentThreadCpuTime - startNanos) / 1_000_000
        assertTrue(spentMs < ROUNDS * MAX_MS_PER_ROUND, "$ROUNDS rounds took $spentMs ms of CPU time")
    }

    @Test
    fun `the number of tasks per round grows with the fleet`() {
        val planned = listOf(100, machines).map { count -> tasksOfFirstRound(count) }
        assertEquals(listOf(PlacementConstants.MIN_ROUND_TASKS, (machines * 16 * PlacementConstants.ROUND_TASKS_PER_CPU).toInt()), planned)
    }

    private fun tasksOfFirstRound(count: Int): Int {
        val scheduler = scheduler(count)
        scheduler.jobChanged(Fixtures.accepted(Fixtures.spec("wk-1", tasks = 5_000), 2), 1)
        scheduler.nextCommit(2_000, 2_000, 16)
        return scheduler.cluster.machines.values
            .sumOf { it.attempts.size }
    }

    private fun scheduler(count: Int): Scheduler {
        val scheduler = Scheduler(settings, 1) { }
        scheduler.fleet.machineTypesRead(listOf(Fixtures.box.copy(cpus = 16.0, memoryGb = 64.0)), 0)
        scheduler.replay.complete(0)
        repeat(count) { scheduler.heartbeat(Fixtures.heartbeat(machineId(it), 1, 1, zone = if (it % 2 == 0) "north" else "south"), mayAct = true, nowMs = 1) }
        return scheduler
    }

    private fun commit(
        scheduler: Scheduler,
        now: Long,
    ) {
        val commit = scheduler.nextCommit(now, now, 16) ?: return
        assertTrue(commit.writes.none { it is Write.RaiseTerm })
        scheduler.committed(commit, mintfield.core.CommitResult.Done(now), now)
    }

    private companion object {
        const val ROUNDS = 10
        const val MAX_MS_PER_ROUND = 200L
    }
}
