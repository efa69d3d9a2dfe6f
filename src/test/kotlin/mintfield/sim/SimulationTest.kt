package mintfield.sim

import mintfield.Fixtures
import mintfield.core.model.Priority
import mintfield.core.model.Shape
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class SimulationTest {
    private fun createCluster(
        seed: Int,
        defects: InjectedDefects = InjectedDefects(),
    ): SimulatedCluster {
        val cluster = SimulatedCluster(seed, defects)
        cluster.submit(Fixtures.spec("wk-1", tasks = 30), 0)
        cluster.submit(Fixtures.spec("wk-2", tasks = 8, team = "small"), 1_000)
        cluster.submit(Fixtures.spec("wk-3", shape = Shape.SERVICE, priority = Priority.HIGH, spot = false), 2_000)
        cluster.submit(Fixtures.spec("wk-4", tasks = 6, oneZone = true), 3_000)
        cluster.submit(Fixtures.spec("wk-5", tasks = 5, spread = true, spot = false), 3_500)
        cluster.submit(Fixtures.spec("wk-6", tasks = 12, zone = "south"), 8_000)
        cluster.submit(Fixtures.spec("wk-7", shape = Shape.SERVICE, priority = Priority.HIGH, spot = false, team = "small"), 9_000)
        cluster.submit(Fixtures.spec("wk-8", tasks = 40), 20_000)
        cluster.cancel("wk-3", 30_000)
        cluster.cancel("wk-8", 40_000)
        return cluster
    }

    @Test
    fun `the rules of the protocol hold under late, lost and repeated messages and failovers`() {
        var starts = 0
        for (seed in 1..60) {
            val cluster = createCluster(seed)
            cluster.network.repeatedCallFraction = REPEATED_FRACTION
            cluster.transactions.repeatedFraction = REPEATED_FRACTION
            try {
                cluster.run(SimulatedCluster.DURATION_MS)
            } catch (e: RuleViolation) {
                throw AssertionError("seed $seed: ${e.message}", e)
            }
            starts += cluster.starts
        }
        assertTrue(starts > 60 * 60, "only $starts starts in 60 simulations")
    }

    @Test
    fun `arrays end under random faults`() {
        for (seed in 1..20) {
            val cluster = createCluster(seed)
            cluster.run(SimulatedCluster.DURATION_MS * 2)
            val left = cluster.unfinishedJobs.filter { it in setOf("wk-1", "wk-2", "wk-6") }
            assertEquals(emptyList<String>(), left, "seed $seed, unfinished after four minutes:\n${cluster.describeState()}")
        }
    }

    /** Users cancel jobs at other controllers while the store refuses only the leader; then a store outage longer than `cancel_s` follows. */
    private fun outageCluster(
        seed: Int,
        defects: InjectedDefects = InjectedDefects(),
    ): SimulatedCluster {
        val cluster = SimulatedCluster(seed, defects, extraRunTimeMs = 200_000)
        for (i in 1..9) cluster.submit(Fixtures.spec("wk-$i", tasks = 2), i * 200L)
        cluster.refuseLeaderBeforeOutage(15_000)
        for (i in 1..6) cluster.cancel("wk-$i", 15_000L + i * 300)
        return cluster
    }

    @Test
    fun `jobs cancelled while the store refuses only the leader, just before an outage, stop in time`() {
        for (seed in 1..60) {
            try {
                outageCluster(seed).run(SimulatedCluster.DURATION_MS)
            } catch (e: RuleViolation) {
                throw AssertionError("seed $seed: ${e.message}", e)
            }
        }
        val broken =
            assertThrows(RuleViolation::class.java) {
                for (seed in 1..30) outageCluster(seed, InjectedDefects(assumeWatermarkComplete = true)).run(SimulatedCluster.DURATION_MS)
            }
        assertTrue(broken.message!!.startsWith("ran_cancelled"), broken.message)
    }

    private fun violationWith(defects: InjectedDefects): RuleViolation =
        assertThrows(RuleViolation::class.java) { for (seed in 1..30) createCluster(seed, defects).run(SimulatedCluster.DURATION_MS) }

    @Test
    fun `a leader that releases the attempts of an unresponsive machine is detected`() {
        assertTrue(violationWith(InjectedDefects(releaseUnresponsive = true)).message!!.startsWith("ran_twice"))
    }

    @Test
    fun `a leader that ignores the order of heartbeats is detected`() {
        val rule = violationWith(InjectedDefects(ignoreHeartbeatOrder = true)).message!!
        assertTrue(rule.startsWith("ran_twice") || rule.startsWith("quota"), rule)
    }

    @Test
    fun `a leader that ignores quota ceilings is detected`() {
        assertTrue(violationWith(InjectedDefects(ignoreQuota = true)).message!!.startsWith("quota"))
    }

    @Test
    fun `a leader that ignores constraints on zones and spot machines is detected`() {
        assertTrue(violationWith(InjectedDefects(hideConstraints = true)).message!!.startsWith("wrong_place"))
    }

    @Test
    fun `a leader that never learns of a cancellation is detected`() {
        val rule = violationWith(InjectedDefects(hideCancellations = true)).message!!
        assertTrue(rule.startsWith("ran_cancelled") || rule.startsWith("went_back"), rule)
    }

    @Test
    fun `a completion that overwrites a cancellation is detected`() {
        assertTrue(
            violationWith(InjectedDefects(hideCancellations = true, ignorePreconditions = true)).message!!.let {
                it.startsWith("went_back") ||
                    it.startsWith("ran_cancelled")
            },
        )
    }

    @Test
    fun `a leader that finishes jobs too early is detected`() {
        assertTrue(violationWith(InjectedDefects(finishEarly = true)).message!!.startsWith("not_done"))
    }

    private companion object {
        /** Fraction of the answered direct commands, and of the answered transactions, that arrive once more. */
        const val REPEATED_FRACTION = 0.1
    }
}
