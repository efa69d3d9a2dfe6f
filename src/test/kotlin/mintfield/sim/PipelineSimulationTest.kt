package mintfield.sim

import mintfield.Fixtures
import mintfield.core.model.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Jobs with predecessors, under late, lost and repeated messages, failovers and cancellations. */
class PipelineSimulationTest {
    private fun submit(
        world: SimWorld,
        id: String,
        atMs: Long,
        vararg predecessors: String,
        tasks: Int = 2,
    ) = world.submit(Fixtures.spec(id, tasks = tasks, priority = Priority.IDLE).copy(predecessors = predecessors.toList()), atMs)

    /** A chain, a diamond, a pipeline whose last job comes late, and one that is cancelled as its jobs are still submitted. */
    private fun createWorld(
        seed: Int,
        faults: PlantedFaults = PlantedFaults(),
    ): SimWorld {
        val world = SimWorld(seed, faults)
        submit(world, "wk-1", 0)
        submit(world, "wk-2", 50, "wk-1")
        submit(world, "wk-3", 100, "wk-2")
        submit(world, "wk-4", 150, "wk-3")
        submit(world, "wk-11", 1_000, tasks = 4)
        submit(world, "wk-12", 1_050, "wk-11")
        submit(world, "wk-13", 1_060, "wk-11")
        submit(world, "wk-14", 1_100, "wk-12", "wk-13")
        submit(world, "wk-15", 60_000, "wk-14", "wk-3")
        submit(world, "wk-21", 2_000, tasks = 20)
        submit(world, "wk-22", 2_050, "wk-21")
        submit(world, "wk-23", 20_000, "wk-22")
        world.cancel("wk-21", 20_001)
        submit(world, "wk-24", 20_002, "wk-23")
        submit(world, "wk-31", 3_000)
        submit(world, "wk-32", 3_050, "wk-31")
        submit(world, "wk-33", 3_100, "wk-32")
        world.cancel("wk-32", 8_000)
        world.cancel("wk-31", 8_010)
        return world
    }

    @Test
    fun `no job starts before its predecessors are done and none outlives the cancellation of one`() {
        var ended = 0
        for (seed in 1..SEEDS) {
            val world = createWorld(seed)
            world.transactions.cancelAtEndShare = if (seed % 2 == 0) 0.2 else 0.0
            world.transactions.lostAnswerShare = if (seed % 3 == 0) 0.2 else 0.0
            world.transactions.lateWriteShare = if (seed % 5 == 0) 0.1 else 0.0
            try {
                world.run(SimWorld.LENGTH_MS)
            } catch (e: RuleViolation) {
                throw AssertionError("seed $seed: ${e.message}\n${world.logs()}", e)
            }
            ended += world.finalStates.size
        }
        assertTrue(ended > SEEDS * MOST_END, "only $ended jobs ended: the worlds did not do their work")
    }

    @Test
    fun `pipelines end under random faults`() {
        for (seed in 1..ENDING_SEEDS) {
            val world = createWorld(seed)
            world.run(SimWorld.LENGTH_MS * 2)
            assertEquals(emptySet<String>(), world.unfinishedJobs, "seed $seed:\n${world.state()}")
        }
    }

    @Test
    fun `starts before predecessors are done are detected`() {
        val broken =
            assertThrows(RuleViolation::class.java) {
                for (seed in 1..SEEDS) createWorld(seed, PlantedFaults(ignoreDependencies = true)).run(SimWorld.LENGTH_MS)
            }
        assertTrue("too_early" in broken.message!!)
    }

    @Test
    fun `jobs that outlive the cancellation of a predecessor are detected`() {
        val broken =
            assertThrows(RuleViolation::class.java) {
                for (seed in 1..SEEDS) createWorld(seed, PlantedFaults(ignoreCancelledPredecessors = true)).run(SimWorld.LENGTH_MS)
            }
        assertTrue("orphaned" in broken.message!!)
    }

    private companion object {
        const val SEEDS = 40
        const val ENDING_SEEDS = 15

        /** Jobs of the sixteen that end in nearly every world within its time. */
        const val MOST_END = 12
    }
}
