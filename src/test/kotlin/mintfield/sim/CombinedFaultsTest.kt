package mintfield.sim

import mintfield.Fixtures
import mintfield.core.model.JobSpec
import mintfield.core.model.Priority
import mintfield.core.model.Shape
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * Scripted combinations of faults in the simulation. Under each combination the rules of [RuleChecker] hold, all accepted jobs
 * end once the faults are over, and the records of cancelled jobs are deleted. Most combinations are repeated with a defect
 * injected that disables the safeguard under test; a rule must then be violated.
 */
class CombinedFaultsTest {
    /** Jobs and the faults that occur while they run; [script] schedules the faults. */
    private class Scenario(
        val extraRunTimeMs: Long = 0,
        val jobs: List<JobSpec> = jobMix,
        val durationMs: Long = 150_000,
        val script: SimulatedCluster.(Random) -> Unit,
    )

    private fun simulate(
        scenario: Scenario,
        seed: Int,
        defects: InjectedDefects,
    ): SimulatedCluster {
        val cluster = SimulatedCluster(seed, defects, scenario.extraRunTimeMs, randomFaultsUntilMs = 0)
        scenario.jobs.forEachIndexed { i, spec -> cluster.submit(spec, i * 150L) }
        cluster.at(0) { scenario.script(this, Random(seed)) }
        try {
            cluster.run(scenario.durationMs)
        } catch (e: RuleViolation) {
            throw if (defects === noDefects) AssertionError("seed $seed: ${e.message}", e) else e
        }
        return cluster
    }

    private fun assertRulesHold(scenario: Scenario) {
        for (seed in 1..SEEDS) {
            val cluster = simulate(scenario, seed, noDefects)
            val left = cluster.recordedJobs.filter { it != SERVICE }
            assertEquals(emptyList<String>(), left, "seed $seed, not ended:\n${cluster.describeState()}${cluster.logs()}")
        }
    }

    private fun assertDetected(
        scenario: Scenario,
        defects: InjectedDefects,
        vararg rules: String,
    ) {
        val broken = assertThrows(RuleViolation::class.java) { for (seed in 1..3 * SEEDS) simulate(scenario, seed, defects) }
        assertTrue(rules.any { broken.message!!.startsWith(it) }, broken.message)
    }

    @Test
    fun `jobs end after all controllers were down for longer than a lease and after one restarted within a second`() =
        assertRulesHold(
            Scenario { random ->
                at(6_000) { crashLeader(random.nextLong(11_000, 16_000)) }
                at(30_000) { crashLeader(300) }
                at(30_400) { crashLeader(random.nextLong(100, 900)) }
            },
        )

    @Test
    fun `jobs cancelled through the new leader stop on workers that stay with a leader partitioned from store and peers`() {
        val scenario =
            Scenario(extraRunTimeMs = 90_000, durationMs = 500_000) { random ->
                at(8_000) { partitionLeader(60_000) }
                for (i in 1..5) at(9_000 + random.nextLong(6_000)) { cancelNow("wk-$i") }
            }
        assertRulesHold(scenario)
        assertDetected(scenario, InjectedDefects(assumeWatermarkComplete = true), "ran_cancelled")
    }

    @Test
    fun `jobs cancelled through any controller, the leader's own among them, stop in time when a store outage begins at once`() {
        // Guards against ran_cancelled: a cancellation that the leader's own controller confirms reaches no log that the leader reads.
        val scenario =
            Scenario(extraRunTimeMs = 90_000, durationMs = 500_000) {
                at(15_000) {
                    for (i in 1..5) cancelNow("wk-$i")
                    storeOutage(53_000)
                }
            }
        assertRulesHold(scenario)
        assertDetected(scenario, InjectedDefects(hideOwnConfirmations = true), "ran_cancelled")
    }

    @Test
    fun `no task runs twice when leaders crash while transactions are applied late and new machines join`() {
        val scenario =
            Scenario { random ->
                transactions.lateWriteFraction = 0.3
                at(4_000) { forEachMachine("south") { it.alive = false } }
                for (i in 1..6) at(5_000L * i + random.nextLong(2_000)) { crashLeader(random.nextLong(100, 3_500)) }
                at(40_000) { transactions.lateWriteFraction = 0.0 }
            }
        assertRulesHold(scenario)
        assertDetected(scenario, InjectedDefects(startUnplanned = true), "ran_twice", "quota")
    }

    @Test
    fun `no task runs twice when the leader crashes while machines hang or are unreachable`() {
        val scenario =
            Scenario(extraRunTimeMs = 20_000, durationMs = 300_000) { random ->
                for (i in 0..3) {
                    at(6_000 + i * 15_000L) {
                        forEachMachine { if (random.nextInt(3) == 0) it.unreachableUntilMs = nowMs + random.nextLong(4_000, 30_000) }
                        forEachMachine { if (random.nextInt(3) == 0) it.hungUntilMs = nowMs + random.nextLong(2_000, 9_000) }
                    }
                    at(7_000 + i * 15_000L) { crashLeader(random.nextLong(200, 4_000)) }
                }
            }
        assertRulesHold(scenario)
        assertDetected(scenario, InjectedDefects(releaseUnresponsive = true), "ran_twice", "quota")
    }

    @Test
    fun `jobs end after ten failovers, one of them in an outage of the store`() =
        assertRulesHold(
            Scenario(durationMs = 200_000) { random ->
                for (i in 1..10) at(3_000L + i * 5_000) { crashLeader(random.nextLong(50, 2_000)) }
                at(22_000) { storeOutage(14_000) }
            },
        )

    @Test
    fun `a new leader does not treat an old heartbeat as current when it is the first one it receives from a machine`() {
        val scenario =
            Scenario(extraRunTimeMs = 8_000, durationMs = 300_000) { random ->
                network.copiedHeartbeatFraction = 0.5
                for (i in 1..4) at(14_000L * i) { crashLeader(random.nextLong(100, 3_000)) }
                at(20_000) { forEachMachine("north") { if (random.nextBoolean()) it.alive = false } }
                at(25_000) { forEachMachine { if (random.nextInt(3) == 0) it.unreachableUntilMs = nowMs + random.nextLong(5_000, 15_000) } }
            }
        assertRulesHold(scenario)
        assertDetected(scenario, InjectedDefects(ignoreHeartbeatOrder = true), "ran_twice", "quota")
    }

    @Test
    fun `jobs cancelled during a failover stop in time`() {
        val scenario =
            Scenario(extraRunTimeMs = 90_000, durationMs = 500_000) { random ->
                for (i in 1..5) {
                    at(6_000L + i * 6_000) { crashLeader(random.nextLong(50, 3_000)) }
                    at(6_000L + i * 6_000 + random.nextLong(-1_000, 3_500)) { cancelNow("wk-$i") }
                }
            }
        assertRulesHold(scenario)
        assertDetected(scenario, InjectedDefects(hideCancellations = true), "ran_cancelled", "went_back")
    }

    @Test
    fun `no task runs twice when commands reach hung machines seconds late`() {
        val scenario =
            Scenario(
                jobs = jobMix + (40..55).map { Fixtures.spec("wk-$it", tasks = 9, priority = Priority.entries[it % 4]) },
                durationMs = 600_000,
            ) { random ->
                for (i in 1..12) at(3_000L * i) { forEachMachine { if (random.nextInt(3) == 0) it.hungUntilMs = nowMs + random.nextLong(1_000, 9_000) } }
                at(15_000) { crashLeader(1_000) }
            }
        assertRulesHold(scenario)
        assertDetected(scenario, InjectedDefects(releaseUnresponsive = true), "ran_twice", "quota")
    }

    @Test
    fun `jobs bound to a zone end after machines of the zone were lost`() =
        assertRulesHold(
            Scenario(jobs = jobMix + Fixtures.spec("wk-30", tasks = 12, zone = "south"), durationMs = 200_000) { random ->
                at(7_000) { forEachMachine("south") { it.alive = false } }
                at(8_000) { crashLeader(random.nextLong(200, 3_000)) }
                at(40_000) { forEachMachine("south") { if (random.nextBoolean()) it.alive = false } }
            },
        )

    @Test
    fun `jobs end when responses to transactions are lost and when transactions are applied late`() {
        fun scenario(writes: SimulatedCluster.() -> Unit) =
            Scenario(durationMs = 220_000) { random ->
                writes()
                for (i in 1..5) at(7_000L * i + random.nextLong(3_000)) { crashLeader(random.nextLong(100, 3_500)) }
                for (i in 1..2) at(9_000L * i) { cancelNow("wk-$i") }
                at(45_000) {
                    transactions.lateWriteFraction = 0.0
                    transactions.lostResponseFraction = 0.0
                }
            }
        assertRulesHold(scenario { transactions.lostResponseFraction = 0.4 })
        val late = scenario { transactions.lateWriteFraction = 0.3 }
        assertRulesHold(late)
        assertDetected(late, InjectedDefects(startUnplanned = true), "ran_twice", "quota", "deleted_while_running")
    }

    @Test
    fun `a job cancelled at the moment of its end gets exactly one final state`() {
        val scenario = Scenario { transactions.cancelAtEndFraction = 0.8 }
        assertRulesHold(scenario)
        assertDetected(scenario, InjectedDefects(hideCancellations = true, ignorePreconditions = true), "went_back")
    }

    @Test
    fun `cancelled tasks on hung or unreachable machines count against the quota ceiling across a failover`() {
        val team = (1..8).map { Fixtures.spec("wk-$it", tasks = 6, team = "small") }
        val scenario =
            Scenario(extraRunTimeMs = 15_000, jobs = team, durationMs = 400_000) { random ->
                for (i in 1..3) {
                    val from = 10_000L + i * 20_000
                    at(from) {
                        forEachMachine { if (random.nextBoolean()) it.unreachableUntilMs = nowMs + random.nextLong(5_000, 25_000) }
                        forEachMachine { if (random.nextInt(3) == 0) it.hungUntilMs = nowMs + 8_000 }
                    }
                    at(from + 500) { for (j in 1..2) cancelNow("wk-${2 * i + j - 2}") }
                    at(from + random.nextLong(400, 1_500)) { crashLeader(random.nextLong(100, 2_000)) }
                }
            }
        assertRulesHold(scenario)
        assertDetected(scenario, InjectedDefects(skipCancelledInReplay = true), "quota", "ran_cancelled")
    }

    @Test
    fun `jobs of one task, some of them cancelled, need fewer than seven writes each on average`() {
        val jobs = (1..240).map { Fixtures.spec("wk-$it") }
        for (seed in 1..3) {
            val cluster = SimulatedCluster(seed, randomFaultsUntilMs = 0)
            jobs.forEachIndexed { i, spec -> cluster.submit(spec, i * 250L) }
            jobs.filterIndexed { i, _ -> i % 4 == 0 }.forEachIndexed { i, spec -> cluster.cancel(spec.id, i * 1_000L + Random(seed + i).nextLong(9_000)) }
            cluster.run(240_000)
            assertEquals(emptySet<String>(), cluster.recordedJobs, cluster.describeState())
            // Accepting, planning and ending a job takes four puts and deletes; writes of rounds and learned state are shared by jobs.
            assertTrue(cluster.writes < 7 * jobs.size, "${cluster.writes} writes for ${jobs.size} jobs")
        }
    }

    @Test
    fun `jobs end when machines receive commands but their heartbeats are lost`() =
        assertRulesHold(
            Scenario(durationMs = 220_000) { random ->
                for (i in 1..4) {
                    at(8_000L * i) {
                        forEachMachine {
                            if (random.nextInt(3) ==
                                0
                            ) {
                                it.heartbeatsLostUntilMs = nowMs + random.nextLong(5_000, 30_000)
                            }
                        }
                    }
                }
                at(17_000) { crashLeader(random.nextLong(100, 3_000)) }
            },
        )

    @Test
    fun `jobs of all priorities end across failovers when they exceed the capacity of the cluster`() =
        assertRulesHold(
            Scenario(jobs = jobMix + (40..55).map { Fixtures.spec("wk-$it", tasks = 9, priority = Priority.entries[it % 4]) }, durationMs = 500_000) {
                at(20_000) { crashLeader(2_000) }
                at(60_000) { crashLeader(300) }
            },
        )

    @Test
    fun `each task of a small job starts once across failovers, except tasks lost with a lease`() {
        for (seed in 1..SEEDS) {
            val scenario =
                Scenario(
                    extraRunTimeMs = 8_000,
                    jobs = (1..5).map { Fixtures.spec("wk-$it", tasks = 3) },
                ) { for (i in 1..5) at(4_000L * i) { crashLeader(400) } }
            val cluster = simulate(scenario, seed, noDefects)
            assertTrue(
                cluster.starts in 15..15 + cluster.tasksLostWithLease,
                "seed $seed: ${cluster.starts} starts, ${cluster.tasksLostWithLease} tasks lost with a lease${cluster.logs()}",
            )
        }
    }

    private companion object {
        const val SEEDS = 12

        /** Id of the service, which never ends. */
        const val SERVICE = "wk-9"
        val noDefects = InjectedDefects()

        /** Arrays with and without constraints, two of them in a team with a quota ceiling, and a service. */
        val jobMix =
            listOf(
                Fixtures.spec("wk-1", tasks = 20),
                Fixtures.spec("wk-2", tasks = 8, team = "small"),
                Fixtures.spec("wk-3", tasks = 6, oneZone = true),
                Fixtures.spec("wk-4", tasks = 5, spread = true, spot = false),
                Fixtures.spec("wk-5", tasks = 12, zone = "south"),
                Fixtures.spec("wk-6", tasks = 12, team = "small"),
                Fixtures.spec(SERVICE, shape = Shape.SERVICE, priority = Priority.HIGH, spot = false),
            )
    }
}
