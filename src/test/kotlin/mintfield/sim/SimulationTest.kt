package mintfield.sim

import mintfield.Fixtures
import mintfield.core.model.Priority
import mintfield.core.model.Shape
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class SimulationTest {
    private fun createWorld(
        seed: Int,
        faults: PlantedFaults = PlantedFaults(),
    ): SimWorld {
        val world = SimWorld(seed, faults)
        world.submit(Fixtures.spec("wk-1", tasks = 30), 0)
        world.submit(Fixtures.spec("wk-2", tasks = 8, team = "small"), 1_000)
        world.submit(Fixtures.spec("wk-3", shape = Shape.SERVICE, priority = Priority.HIGH, spot = false), 2_000)
        world.submit(Fixtures.spec("wk-4", tasks = 6, oneZone = true), 3_000)
        world.submit(Fixtures.spec("wk-5", tasks = 5, spread = true, spot = false), 3_500)
        world.submit(Fixtures.spec("wk-6", tasks = 12, zone = "south"), 8_000)
        world.submit(Fixtures.spec("wk-7", shape = Shape.SERVICE, priority = Priority.HIGH, spot = false, team = "small"), 9_000)
        world.submit(Fixtures.spec("wk-8", tasks = 40), 20_000)
        world.cancel("wk-3", 30_000)
        world.cancel("wk-8", 40_000)
        return world
    }

    @Test
    fun `the rules hold under late, lost and repeated messages and failovers`() {
        var starts = 0
        for (seed in 1..60) {
            val world = createWorld(seed)
            try {
                world.run(SimWorld.LENGTH_MS)
            } catch (e: RuleViolation) {
                throw AssertionError("seed $seed: ${e.message}", e)
            }
            starts += world.starts
        }
        assertTrue(starts > 60 * 60, "only $starts starts: the worlds did not do their work")
    }

    @Test
    fun `arrays end under random faults`() {
        for (seed in 1..20) {
            val world = createWorld(seed)
            world.run(SimWorld.LENGTH_MS * 2)
            val left = world.unfinishedJobs.filter { it in setOf("wk-1", "wk-2", "wk-6") }
            assertEquals(emptyList<String>(), left, "seed $seed, unfinished after four minutes:\n${world.state()}")
        }
    }

    /** Users cancel at other controllers while the store refuses the leader alone; then it is out for longer than `cancel_s`. */
    private fun outageWorld(
        seed: Int,
        faults: PlantedFaults = PlantedFaults(),
    ): SimWorld {
        val world = SimWorld(seed, faults, extraRunTimeMs = 200_000)
        for (i in 1..9) world.submit(Fixtures.spec("wk-$i", tasks = 2), i * 200L)
        world.refuseLeaderBeforeOutage(15_000)
        for (i in 1..6) world.cancel("wk-$i", 15_000L + i * 300)
        return world
    }

    @Test
    fun `jobs cancelled while the store refuses only the leader, just before an outage, stop in time`() {
        for (seed in 1..60) {
            try {
                outageWorld(seed).run(SimWorld.LENGTH_MS)
            } catch (e: RuleViolation) {
                throw AssertionError("seed $seed: ${e.message}", e)
            }
        }
        val broken =
            assertThrows(RuleViolation::class.java) {
                for (seed in 1..30) outageWorld(seed, PlantedFaults(assumeWatermarkComplete = true)).run(SimWorld.LENGTH_MS)
            }
        assertTrue(broken.message!!.startsWith("ran_cancelled"), broken.message)
    }

    private fun violationWith(faults: PlantedFaults): RuleViolation =
        assertThrows(RuleViolation::class.java) { for (seed in 1..30) createWorld(seed, faults).run(SimWorld.LENGTH_MS) }

    @Test
    fun `a leader that takes silence for proof of release is detected`() {
        assertTrue(violationWith(PlantedFaults(releaseOnSilence = true)).message!!.startsWith("ran_twice"))
    }

    @Test
    fun `a leader that ignores the order of heartbeats is detected`() {
        val rule = violationWith(PlantedFaults(ignoreHeartbeatOrder = true)).message!!
        assertTrue(rule.startsWith("ran_twice") || rule.startsWith("quota"), rule)
    }

    @Test
    fun `a leader that ignores quota ceilings is detected`() {
        assertTrue(violationWith(PlantedFaults(ignoreQuota = true)).message!!.startsWith("quota"))
    }

    @Test
    fun `a leader that ignores constraints of zone and machine kind is detected`() {
        assertTrue(violationWith(PlantedFaults(hideConstraints = true)).message!!.startsWith("wrong_place"))
    }

    @Test
    fun `a leader that never learns of a cancellation is detected`() {
        val rule = violationWith(PlantedFaults(hideCancellations = true)).message!!
        assertTrue(rule.startsWith("ran_cancelled") || rule.startsWith("went_back"), rule)
    }

    @Test
    fun `a completion that overwrites a cancellation is detected`() {
        assertTrue(
            violationWith(PlantedFaults(hideCancellations = true, ignorePreconditions = true)).message!!.let {
                it.startsWith("went_back") ||
                    it.startsWith("ran_cancelled")
            },
        )
    }

    @Test
    fun `a leader that finishes jobs too early is detected`() {
        assertTrue(violationWith(PlantedFaults(finishEarly = true)).message!!.startsWith("not_done"))
    }
}
