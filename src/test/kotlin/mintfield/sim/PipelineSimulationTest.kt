package mintfield.sim

import mintfield.Fixtures
import mintfield.core.model.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Simulations of jobs with predecessors under late, lost and repeated messages, failovers and cancellations. */
class PipelineSimulationTest {
    private fun submit(
        cluster: SimulatedCluster,
        id: String,
        atMs: Long,
        vararg predecessors: String,
        tasks: Int = 2,
    ) = cluster.submit(Fixtures.spec(id, tasks = tasks, priority = Priority.IDLE).copy(predecessors = predecessors.toList()), atMs)

    /** A chain, a diamond with a successor submitted late, a pipeline cancelled while it is being submitted, and one of which two jobs are cancelled. */
    private fun createCluster(
        seed: Int,
        defects: InjectedDefects = InjectedDefects(),
    ): SimulatedCluster {
        val cluster = SimulatedCluster(seed, defects)
        submit(cluster, "wk-1", 0)
        submit(cluster, "wk-2", 50, "wk-1")
        submit(cluster, "wk-3", 100, "wk-2")
        submit(cluster, "wk-4", 150, "wk-3")
        submit(cluster, "wk-11", 1_000, tasks = 4)
        submit(cluster, "wk-12", 1_050, "wk-11")
        submit(cluster, "wk-13", 1_060, "wk-11")
        submit(cluster, "wk-14", 1_100, "wk-12", "wk-13")
        submit(cluster, "wk-15", 60_000, "wk-14", "wk-3")
        submit(cluster, "wk-21", 2_000, tasks = 20)
        submit(cluster, "wk-22", 2_050, "wk-21")
        submit(cluster, "wk-23", 20_000, "wk-22")
        cluster.cancel("wk-21", 20_001)
        submit(cluster, "wk-24", 20_002, "wk-23")
        submit(cluster, "wk-31", 3_000)
        submit(cluster, "wk-32", 3_050, "wk-31")
        submit(cluster, "wk-33", 3_100, "wk-32")
        cluster.cancel("wk-32", 8_000)
        cluster.cancel("wk-31", 8_010)
        return cluster
    }

    @Test
    fun `no job starts before its predecessors are done and none continues after one of them is cancelled`() {
        var ended = 0
        for (seed in 1..SEEDS) {
            val cluster = createCluster(seed)
            cluster.transactions.cancelAtEndFraction = if (seed % 2 == 0) 0.2 else 0.0
            cluster.transactions.lostResponseFraction = if (seed % 3 == 0) 0.2 else 0.0
            cluster.transactions.lateWriteFraction = if (seed % 5 == 0) 0.1 else 0.0
            try {
                cluster.run(SimulatedCluster.DURATION_MS)
            } catch (e: RuleViolation) {
                throw AssertionError("seed $seed: ${e.message}\n${cluster.logs()}", e)
            }
            ended += cluster.finalStates.size
        }
        assertTrue(ended > SEEDS * MIN_ENDED_PER_SEED, "only $ended jobs ended in $SEEDS simulations")
    }

    @Test
    fun `pipelines end under random faults`() {
        for (seed in 1..ENDING_SEEDS) {
            val cluster = createCluster(seed)
            cluster.run(SimulatedCluster.DURATION_MS * 2)
            assertEquals(emptySet<String>(), cluster.unfinishedJobs, "seed $seed:\n${cluster.describeState()}")
        }
    }

    @Test
    fun `a job that starts before its predecessors are done is detected`() {
        val broken =
            assertThrows(RuleViolation::class.java) {
                for (seed in 1..SEEDS) createCluster(seed, InjectedDefects(ignoreDependencies = true)).run(SimulatedCluster.DURATION_MS)
            }
        assertTrue("too_early" in broken.message!!)
    }

    @Test
    fun `a job that continues after the cancellation of a predecessor is detected`() {
        val broken =
            assertThrows(RuleViolation::class.java) {
                for (seed in 1..DETECTION_SEEDS) createCluster(seed, InjectedDefects(ignoreCancelledPredecessors = true)).run(SimulatedCluster.DURATION_MS)
            }
        assertTrue("orphaned" in broken.message!!)
    }

    private companion object {
        const val SEEDS = 40

        /** Seeds that are tried until an injected defect is detected. */
        const val DETECTION_SEEDS = 3 * SEEDS
        const val ENDING_SEEDS = 15

        /** More than this number of the sixteen jobs must end per simulation on average; nearly every simulation exceeds it. */
        const val MIN_ENDED_PER_SEED = 12
    }
}
