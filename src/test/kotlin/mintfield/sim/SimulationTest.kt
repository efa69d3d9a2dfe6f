package mintfield.sim

import mintfield.Fixtures
import mintfield.core.model.Priority
import mintfield.core.model.Shape
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class SimulationTest {
    private fun world(
        seed: Int,
        faults: PlantedFaults = PlantedFaults(),
    ): SimWorld {
        val w = SimWorld(seed, faults)
        w.submit(Fixtures.spec("wk-1", tasks = 30), 0)
        w.submit(Fixtures.spec("wk-2", tasks = 8, team = "small"), 1_000)
        w.submit(Fixtures.spec("wk-3", shape = Shape.SERVICE, priority = Priority.HIGH, spot = false), 2_000)
        w.submit(Fixtures.spec("wk-4", tasks = 6, oneZone = true), 3_000)
        w.submit(Fixtures.spec("wk-5", tasks = 5, spread = true, spot = false), 3_500)
        w.submit(Fixtures.spec("wk-6", tasks = 12, zone = "south"), 8_000)
        w.submit(Fixtures.spec("wk-7", shape = Shape.SERVICE, priority = Priority.HIGH, spot = false, team = "small"), 9_000)
        w.submit(Fixtures.spec("wk-8", tasks = 40), 20_000)
        w.cancel("wk-3", 30_000)
        w.cancel("wk-8", 40_000)
        return w
    }

    @Test
    fun `the rules hold under late, lost and repeated messages and replaced leaders`() {
        var starts = 0
        for (seed in 1..60) {
            val w = world(seed)
            try {
                w.run(SimWorld.LENGTH_MS)
            } catch (e: RuleViolation) {
                throw AssertionError("seed $seed: ${e.message}", e)
            }
            starts += w.starts
        }
        assertTrue(starts > 60 * 60, "only $starts starts: the worlds did not do their work")
    }

    @Test
    fun `arrays end in spite of everything`() {
        for (seed in 1..20) {
            val w = world(seed)
            w.run(SimWorld.LENGTH_MS * 2)
            val left = w.unfinishedJobs.filter { it in setOf("wk-1", "wk-2", "wk-6") }
            assertEquals(emptyList<String>(), left, "seed $seed, unfinished after four minutes:\n${w.state()}")
        }
    }

    /** Users cancel at other controllers while the leader is refused alone; then the store is out for longer than cancel_s. */
    private fun gapWorld(
        seed: Int,
        faults: PlantedFaults = PlantedFaults(),
    ): SimWorld {
        val w = SimWorld(seed, faults, extraRunTimeMs = 200_000)
        for (i in 1..9) w.submit(Fixtures.spec("wk-$i", tasks = 2), i * 200L)
        w.refuseLeaderBeforeOutage(15_000)
        for (i in 1..6) w.cancel("wk-$i", 15_000L + i * 300)
        return w
    }

    @Test
    fun `what is cancelled while the leader is refused alone, just before an outage, is gone in time`() {
        for (seed in 1..60) {
            try {
                gapWorld(seed).run(SimWorld.LENGTH_MS)
            } catch (e: RuleViolation) {
                throw AssertionError("seed $seed: ${e.message}", e)
            }
        }
        val broken =
            assertThrows(
                RuleViolation::class.java,
            ) { for (seed in 1..30) gapWorld(seed, PlantedFaults(assumeWatermarkComplete = true)).run(SimWorld.LENGTH_MS) }
        assertTrue(broken.message!!.startsWith("ran_cancelled"), broken.message)
    }

    private fun caught(faults: PlantedFaults): RuleViolation =
        assertThrows(RuleViolation::class.java) { for (seed in 1..30) world(seed, faults).run(SimWorld.LENGTH_MS) }

    @Test
    fun `a leader that takes silence for proof is caught`() {
        assertTrue(caught(PlantedFaults(releaseOnSilence = true)).message!!.startsWith("ran_twice"))
    }

    @Test
    fun `a leader that does not know late copies of reports from new ones is caught`() {
        val rule = caught(PlantedFaults(ignoreHeartbeatOrder = true)).message!!
        assertTrue(rule.startsWith("ran_twice") || rule.startsWith("quota"), rule)
    }

    @Test
    fun `a leader that forgets the team's limit is caught`() {
        assertTrue(caught(PlantedFaults(ignoreQuota = true)).message!!.startsWith("quota"))
    }

    @Test
    fun `a leader that does not know of zones and kinds is caught`() {
        assertTrue(caught(PlantedFaults(hideConstraints = true)).message!!.startsWith("wrong_place"))
    }

    @Test
    fun `a leader that never hears of an abort is caught`() {
        val rule = caught(PlantedFaults(hideCancellations = true)).message!!
        assertTrue(rule.startsWith("ran_cancelled") || rule.startsWith("went_back"), rule)
    }

    @Test
    fun `an end that overwrites an abort is caught`() {
        assertTrue(
            caught(PlantedFaults(hideCancellations = true, ignorePreconditions = true)).message!!.let {
                it.startsWith("went_back") ||
                    it.startsWith("ran_cancelled")
            },
        )
    }

    @Test
    fun `a leader that calls jobs done too early is caught`() {
        assertTrue(caught(PlantedFaults(finishEarly = true)).message!!.startsWith("not_done"))
    }
}
