package mintfield.core.dependencies

import mintfield.Fixtures
import mintfield.core.jobs.KnownJob
import mintfield.core.model.AcceptedJob
import mintfield.core.model.FinalState
import mintfield.core.model.JobPhase
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class DependencyGraphTest {
    private val known = HashMap<String, KnownJob>()
    private val events = ArrayList<String>()
    private val graph =
        DependencyGraph { known[it] }.also {
            it.listener =
                object : DependencyListener {
                    override fun becameReady(id: String) {
                        events += "$id ready"
                    }

                    override fun dependencyCancelled(id: String) {
                        events += "$id cancelled by dependency"
                    }
                }
        }

    private fun job(
        id: String,
        vararg predecessors: String,
        cancelled: Boolean = false,
    ): AcceptedJob = Fixtures.accepted(Fixtures.spec(id).copy(predecessors = predecessors.toList()), revision = 1, cancelled = cancelled)

    private fun submitted(
        id: String,
        vararg predecessors: String,
    ) = graph.onRecordWritten(job(id, *predecessors))

    /** Delivers the end of a job as a watch does: first its final state, then the deletion of its record. */
    private fun ends(
        id: String,
        phase: JobPhase = JobPhase.DONE,
        atMs: Long = 0,
    ) {
        graph.onJobEnded(id, FinalState(phase, 1, atMs))
        graph.onRecordRemoved(id)
    }

    @Test
    fun `a job is ready when the last of its predecessors is recorded as done`() {
        known["wk-1"] = KnownJob.Live(job("wk-1"))
        known["wk-2"] = KnownJob.Live(job("wk-2"))
        submitted("wk-3", "wk-1", "wk-2")
        assertFalse(graph.isReady("wk-3"))
        ends("wk-1", atMs = 500)
        assertEquals(listOf("wk-2"), graph.pendingPredecessorsOf("wk-3"))
        ends("wk-2", atMs = 700)
        assertEquals(listOf("wk-3 ready"), events)
        assertEquals(700, graph.readySinceMs("wk-3"))
    }

    @Test
    fun `a predecessor whose record is deleted without a known final state is unresolved`() {
        known["wk-1"] = KnownJob.Live(job("wk-1"))
        submitted("wk-2", "wk-1")
        graph.onRecordRemoved("wk-1")
        assertFalse(graph.isReady("wk-2"))
        assertEquals(setOf("wk-1"), graph.unresolved)
        assertEquals(listOf("wk-1"), graph.unresolvedBefore("wk-2"))
        graph.onJobEnded("wk-1", FinalState(JobPhase.DONE, 1))
        assertTrue(graph.isReady("wk-2"))
        assertEquals(emptySet<String>(), graph.unresolved)
    }

    @Test
    fun `cancelling a predecessor cancels all successors of a diamond once each, and those submitted later`() {
        known["wk-1"] = KnownJob.Live(job("wk-1"))
        submitted("wk-2", "wk-1")
        submitted("wk-3", "wk-1")
        submitted("wk-4", "wk-2", "wk-3")
        graph.onRecordWritten(job("wk-1", cancelled = true))
        assertEquals(setOf("wk-2 cancelled by dependency", "wk-3 cancelled by dependency", "wk-4 cancelled by dependency"), events.toSet())
        assertEquals(3, events.size)
        submitted("wk-5", "wk-4")
        assertTrue(graph.isCancelledByDependency("wk-5"))
    }

    @Test
    fun `cancelling the middle of a chain cancels only the jobs after it`() {
        known["wk-1"] = KnownJob.Live(job("wk-1"))
        submitted("wk-2", "wk-1")
        submitted("wk-3", "wk-2")
        graph.onRecordWritten(job("wk-2", "wk-1", cancelled = true))
        assertEquals(listOf("wk-3 cancelled by dependency"), events)
        ends("wk-1")
        assertFalse(graph.isReady("wk-3"), "its direct predecessor is cancelled, even if the first job is done")
    }

    @Test
    fun `a final state never changes`() {
        known["wk-1"] = KnownJob.Live(job("wk-1"))
        submitted("wk-2", "wk-1")
        graph.onJobEnded("wk-1", FinalState(JobPhase.DONE, 1))
        graph.onRecordWritten(job("wk-1", cancelled = true))
        graph.onJobEnded("wk-1", FinalState(JobPhase.CANCELLED, 1))
        assertTrue(graph.isReady("wk-2"))
        assertEquals(listOf("wk-2 ready"), events)
    }

    @Test
    fun `records may be read in any order`() {
        submitted("wk-3", "wk-2")
        submitted("wk-2", "wk-1")
        submitted("wk-1")
        assertEquals(emptySet<String>(), graph.unresolved)
        listOf("wk-1", "wk-2").forEach { ends(it) }
        assertEquals(listOf("wk-2 ready", "wk-3 ready"), events)
    }

    @Test
    fun `long chains and wide fans neither overflow the stack nor stay in memory`() {
        submitted("wk-0")
        for (i in 1..CHAIN) submitted("wk-$i", "wk-${i - 1}")
        for (i in 1..FAN) submitted("fan-$i", "wk-$CHAIN")
        graph.onRecordWritten(job("wk-0", cancelled = true))
        assertEquals(CHAIN + FAN, events.size)
        for (i in 0..CHAIN) ends("wk-$i", JobPhase.CANCELLED)
        for (i in 1..FAN) ends("fan-$i", JobPhase.CANCELLED)
        assertEquals(0, graph.all.size)
    }

    /** Whatever the order of events, the graph must give the same result as a search through the whole history. */
    @Test
    fun `random pipelines agree with a search through all records`() {
        repeat(SEEDS) { seed -> randomPipelines(Random(seed)) }
    }

    private fun randomPipelines(random: Random) {
        known.clear()
        val graph = DependencyGraph { known[it] }
        val jobs = ArrayList<AcceptedJob>()
        repeat(RANDOM_STEPS) {
            val open = jobs.filter { known[it.spec.id] is KnownJob.Live }
            val chosen = open.randomOrNull(random)
            when (random.nextInt(4)) {
                0, 1 -> {
                    val job =
                        job(
                            "wk-${jobs.size}",
                            *jobs
                                .shuffled(random)
                                .take(random.nextInt(3))
                                .map { it.spec.id }
                                .toTypedArray(),
                        )
                    jobs += job
                    known[job.spec.id] = KnownJob.Live(job)
                    graph.onRecordWritten(job)
                }
                2 -> if (chosen != null && chosen.spec.predecessors.all { isDone(it) }) end(graph, chosen, JobPhase.DONE, random)
                else -> if (chosen != null) end(graph, chosen, JobPhase.CANCELLED, random)
            }
            for (job in jobs.filter { known[it.spec.id] is KnownJob.Live }) {
                val id = job.spec.id
                assertEquals(job.spec.predecessors.any { isCancelled(it, jobs) }, graph.isCancelledByDependency(id), "$id cancelled by dependency")
                assertEquals(job.spec.predecessors.all { isDone(it) }, graph.isReady(id), "$id ready")
            }
        }
    }

    private fun end(
        graph: DependencyGraph,
        job: AcceptedJob,
        phase: JobPhase,
        random: Random,
    ) {
        val id = job.spec.id
        known[id] = KnownJob.Ended(FinalState(phase, 0))
        val removedFirst = random.nextBoolean()
        if (removedFirst) graph.onRecordRemoved(id)
        graph.onJobEnded(id, FinalState(phase, 0))
        if (!removedFirst) graph.onRecordRemoved(id)
    }

    private fun isDone(id: String) = (known[id] as? KnownJob.Ended)?.state?.phase == JobPhase.DONE

    private fun isCancelled(
        id: String,
        jobs: List<AcceptedJob>,
    ): Boolean {
        val ended = known[id] as? KnownJob.Ended
        if (ended != null) return ended.state.phase == JobPhase.CANCELLED
        return jobs
            .first { it.spec.id == id }
            .spec.predecessors
            .any { isCancelled(it, jobs) }
    }

    private companion object {
        const val CHAIN = 20_000
        const val FAN = 500
        const val SEEDS = 200
        const val RANDOM_STEPS = 60
    }
}
