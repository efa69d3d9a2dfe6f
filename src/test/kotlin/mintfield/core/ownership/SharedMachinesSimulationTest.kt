package mintfield.core.ownership

import mintfield.Fixtures
import mintfield.core.model.Priority
import mintfield.core.model.Shape
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Simulates three shards whose machines move all the time. */
class SharedMachinesSimulationTest {
    private fun world(
        seed: Int,
        injectsFaults: Boolean = true,
        disabledGuards: ShardedSimulation.DisabledGuards = ShardedSimulation.DisabledGuards(),
    ): ShardedSimulation {
        val w = ShardedSimulation(seed, injectsFaults, disabledGuards)
        for ((i, team) in listOf("floor", "small", "third").withIndex()) {
            w.submit(Fixtures.spec("wk-${i}1", tasks = 20, team = team), i * 300L)
            w.submit(Fixtures.spec("wk-${i}2", tasks = 6, team = team, zone = "south"), 4_000L + i)
            w.submit(Fixtures.spec("wk-${i}3", tasks = 4, team = team, oneZone = true), 9_000L + i)
            w.submit(Fixtures.spec("wk-${i}4", shape = Shape.SERVICE, priority = Priority.HIGH, spot = false, team = team), 2_000L + i)
            w.submit(Fixtures.spec("wk-${i}5", tasks = 30, team = team), 20_000L + i)
            w.submit(Fixtures.spec("wk-${i}6", tasks = 3, shape = Shape.GANG, team = team), 12_000L + i)
            w.abort("wk-${i}4", 40_000L + i * 5_000)
            w.abort("wk-${i}5", 26_000L + i * 3_000)
        }
        return w
    }

    private fun run(
        seed: Int,
        world: ShardedSimulation,
        lengthMs: Long = ShardedSimulation.LENGTH_MS,
    ) = try {
        world.run(lengthMs)
    } catch (e: ShardedSimulation.Violation) {
        throw ShardedSimulation.Violation("seed $seed: ${e.message}")
    }

    @Test
    fun `a machine never has two owners, and all invariants hold, under faults during moves`() {
        var moves = 0
        for (seed in 1..SEEDS) moves += world(seed).also { run(seed, it) }.moves
        assertTrue(moves > SEEDS * 10, "only $moves moves")
    }

    @Test
    fun `no task is lost by a move`() {
        for (seed in 1..SEEDS / 2) {
            val w = world(seed, injectsFaults = false).also { run(seed, it) }
            assertEquals(0, w.lostTasks, "seed $seed: tasks that were lost with a lease")
            assertTrue(w.moves > 20, "only ${w.moves} moves")
        }
    }

    @Test
    fun `no task runs twice when answered direct commands arrive again after machines have moved`() {
        var repeated = 0
        for (seed in 1..SEEDS) {
            val w = world(seed)
            w.repeatedCallFraction = 0.5
            for (i in 1..15) w.failTasks(4_000L * i, forMs = 3_000)
            run(seed, w)
            repeated += w.repeatedCalls
        }
        assertTrue(repeated > SEEDS * 10, "only $repeated commands arrived again")
    }

    @Test
    fun `every job ends under faults`() {
        for (seed in 1..SEEDS / 2) {
            val w = world(seed).also { run(seed, it, ShardedSimulation.LENGTH_MS * 3) }
            assertEquals(emptySet<String>(), w.recordedJobs, "seed $seed:\n${w.state()}")
        }
    }

    @Test
    fun `disabling any guard violates an invariant`() {
        val expectedRules =
            mapOf(
                ShardedSimulation.DisabledGuards(ignoresPendingReleases = true) to listOf("two owners"),
                ShardedSimulation.DisabledGuards(ignoresEpochs = true) to listOf("former owner", "ran_twice", "quota"),
                ShardedSimulation.DisabledGuards(ignoresNoHeartbeatYet = true) to listOf("ran_twice"),
                ShardedSimulation.DisabledGuards(omitsBlockPreconditions = true) to listOf("two owners", "former owner", "ran_twice"),
            )
        for ((disabledGuards, rules) in expectedRules) assertTrue((1..SEEDS * 10).any { violates(it, disabledGuards, rules) }, "$rules")
        val stopping = ShardedSimulation.DisabledGuards(stopsForeignTasks = true)
        val lost =
            assertThrows(ShardedSimulation.Violation::class.java) {
                for (seed in 1..SEEDS) run(seed, world(seed, injectsFaults = false, disabledGuards = stopping))
            }
        assertTrue("lost" in lost.message!!, lost.message)
    }

    /** Whether the first violation in the run with [seed] and [disabledGuards] is of one of [rules]. */
    private fun violates(
        seed: Int,
        disabledGuards: ShardedSimulation.DisabledGuards,
        rules: List<String>,
    ): Boolean =
        try {
            run(seed, world(seed, disabledGuards = disabledGuards))
            false
        } catch (e: ShardedSimulation.Violation) {
            rules.any { it in e.message!! }
        }

    private companion object {
        const val SEEDS = 30
    }
}
