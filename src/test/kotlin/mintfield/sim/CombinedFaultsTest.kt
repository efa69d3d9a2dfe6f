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
 * Faults that occur together, each combination scripted in the simulation. Under each the rules hold, accepted jobs end once
 * the faults are over, and nothing is left of cancelled ones. With the safeguard removed that a combination tests, a rule breaks.
 */
class CombinedFaultsTest {
    /** Arrays, a service and a team at its quota ceiling; [script] adds the faults. */
    private class Scenario(
        val extraRunTimeMs: Long = 0,
        val jobs: List<JobSpec> = ordinary,
        val lengthMs: Long = 150_000,
        val script: SimWorld.(Random) -> Unit,
    )

    private fun play(
        scenario: Scenario,
        seed: Int,
        faults: PlantedFaults,
    ): SimWorld {
        val world = SimWorld(seed, faults, scenario.extraRunTimeMs, troublesUntilMs = 0)
        scenario.jobs.forEachIndexed { i, spec -> world.submit(spec, i * 150L) }
        world.at(0) { scenario.script(this, Random(seed)) }
        try {
            world.run(scenario.lengthMs)
        } catch (e: RuleViolation) {
            throw if (faults === noFaults) AssertionError("seed $seed: ${e.message}", e) else e
        }
        return world
    }

    private fun holds(scenario: Scenario) {
        for (seed in 1..SEEDS) {
            val world = play(scenario, seed, noFaults)
            val left = world.recordedJobs.filter { it != SERVICE }
            assertEquals(emptyList<String>(), left, "seed $seed, not ended:\n${world.state()}${world.logs()}")
        }
    }

    private fun detects(
        scenario: Scenario,
        faults: PlantedFaults,
        vararg rules: String,
    ) {
        val broken = assertThrows(RuleViolation::class.java) { for (seed in 1..3 * SEEDS) play(scenario, seed, faults) }
        assertTrue(rules.any { broken.message!!.startsWith(it) }, broken.message)
    }

    @Test
    fun `jobs end after all controllers were down for longer than a lease and after one restarted within a second`() =
        holds(
            Scenario { random ->
                at(6_000) { crashLeader(random.nextLong(11_000, 16_000)) }
                at(30_000) { crashLeader(300) }
                at(30_400) { crashLeader(random.nextLong(100, 900)) }
            },
        )

    @Test
    fun `jobs cancelled through the new leader stop on workers that stay with a leader partitioned from store and peers`() {
        val scenario =
            Scenario(extraRunTimeMs = 90_000, lengthMs = 500_000) { random ->
                at(8_000) { partitionLeader(60_000) }
                for (i in 1..5) at(9_000 + random.nextLong(6_000)) { cancelNow("wk-$i") }
            }
        holds(scenario)
        detects(scenario, PlantedFaults(assumeWatermarkComplete = true), "ran_cancelled")
    }

    @Test
    fun `no task runs twice when leaders crash while transactions are applied late and new machines join`() {
        val scenario =
            Scenario { random ->
                transactions.lateWriteShare = 0.3
                at(4_000) { forEachMachine("south") { it.alive = false } }
                for (i in 1..6) at(5_000L * i + random.nextLong(2_000)) { crashLeader(random.nextLong(100, 3_500)) }
                at(40_000) { transactions.lateWriteShare = 0.0 }
            }
        holds(scenario)
        detects(scenario, PlantedFaults(startUnplanned = true), "ran_twice", "quota")
    }

    @Test
    fun `no task runs twice when the leader crashes while machines hang or are unreachable`() {
        val scenario =
            Scenario(extraRunTimeMs = 20_000, lengthMs = 300_000) { random ->
                for (i in 0..3) {
                    at(6_000 + i * 15_000L) {
                        forEachMachine { if (random.nextInt(3) == 0) it.unreachableUntilMs = nowMs + random.nextLong(4_000, 30_000) }
                        forEachMachine { if (random.nextInt(3) == 0) it.hungUntilMs = nowMs + random.nextLong(2_000, 9_000) }
                    }
                    at(7_000 + i * 15_000L) { crashLeader(random.nextLong(200, 4_000)) }
                }
            }
        holds(scenario)
        detects(scenario, PlantedFaults(releaseOnSilence = true), "ran_twice", "quota")
    }

    @Test
    fun `jobs end after ten failovers, one of them in an outage of the store`() =
        holds(
            Scenario(lengthMs = 200_000) { random ->
                for (i in 1..10) at(3_000L + i * 5_000) { crashLeader(random.nextLong(50, 2_000)) }
                at(22_000) { storeOutage(14_000) }
            },
        )

    @Test
    fun `an old heartbeat is not taken for a new one when it is the first that a new leader gets of a machine`() {
        val scenario =
            Scenario(extraRunTimeMs = 8_000, lengthMs = 300_000) { random ->
                network.copiedHeartbeatShare = 0.5
                for (i in 1..4) at(14_000L * i) { crashLeader(random.nextLong(100, 3_000)) }
                at(20_000) { forEachMachine("north") { if (random.nextBoolean()) it.alive = false } }
                at(25_000) { forEachMachine { if (random.nextInt(3) == 0) it.unreachableUntilMs = nowMs + random.nextLong(5_000, 15_000) } }
            }
        holds(scenario)
        detects(scenario, PlantedFaults(ignoreHeartbeatOrder = true), "ran_twice", "quota")
    }

    @Test
    fun `jobs cancelled during a failover stop in time`() {
        val scenario =
            Scenario(extraRunTimeMs = 90_000, lengthMs = 500_000) { random ->
                for (i in 1..5) {
                    at(6_000L + i * 6_000) { crashLeader(random.nextLong(50, 3_000)) }
                    at(6_000L + i * 6_000 + random.nextLong(-1_000, 3_500)) { cancelNow("wk-$i") }
                }
            }
        holds(scenario)
        detects(scenario, PlantedFaults(hideCancellations = true), "ran_cancelled", "went_back")
    }

    @Test
    fun `no task runs twice when commands reach hung machines seconds late`() {
        val scenario =
            Scenario(jobs = ordinary + (40..55).map { Fixtures.spec("wk-$it", tasks = 9, priority = Priority.entries[it % 4]) }, lengthMs = 600_000) { random ->
                for (i in 1..12) at(3_000L * i) { forEachMachine { if (random.nextInt(3) == 0) it.hungUntilMs = nowMs + random.nextLong(1_000, 9_000) } }
                at(15_000) { crashLeader(1_000) }
            }
        holds(scenario)
        detects(scenario, PlantedFaults(releaseOnSilence = true), "ran_twice", "quota")
    }

    @Test
    fun `jobs bound to a zone end after its machines were lost`() =
        holds(
            Scenario(jobs = ordinary + Fixtures.spec("wk-30", tasks = 12, zone = "south"), lengthMs = 200_000) { random ->
                at(7_000) { forEachMachine("south") { it.alive = false } }
                at(8_000) { crashLeader(random.nextLong(200, 3_000)) }
                at(40_000) { forEachMachine("south") { if (random.nextBoolean()) it.alive = false } }
            },
        )

    @Test
    fun `jobs end when answers to transactions are lost and when transactions are applied late`() {
        fun scenario(writes: SimWorld.() -> Unit) =
            Scenario(lengthMs = 220_000) { random ->
                writes()
                for (i in 1..5) at(7_000L * i + random.nextLong(3_000)) { crashLeader(random.nextLong(100, 3_500)) }
                for (i in 1..2) at(9_000L * i) { cancelNow("wk-$i") }
                at(45_000) {
                    transactions.lateWriteShare = 0.0
                    transactions.lostAnswerShare = 0.0
                }
            }
        holds(scenario { transactions.lostAnswerShare = 0.4 })
        val late = scenario { transactions.lateWriteShare = 0.3 }
        holds(late)
        detects(late, PlantedFaults(startUnplanned = true), "ran_twice", "quota", "swept")
    }

    @Test
    fun `a job cancelled at the moment of its end gets one final state`() {
        val scenario = Scenario { transactions.cancelAtEndShare = 0.8 }
        holds(scenario)
        detects(scenario, PlantedFaults(hideCancellations = true, ignorePreconditions = true), "went_back")
    }

    @Test
    fun `cancelled tasks on hung or unreachable machines count against the quota ceiling across a failover`() {
        val team = (1..8).map { Fixtures.spec("wk-$it", tasks = 6, team = "small") }
        val scenario =
            Scenario(extraRunTimeMs = 15_000, jobs = team, lengthMs = 400_000) { random ->
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
        holds(scenario)
        detects(scenario, PlantedFaults(skipCancelledInReplay = true), "quota", "ran_cancelled")
    }

    @Test
    fun `jobs of one task, some of them cancelled, cost few writes`() {
        val jobs = (1..240).map { Fixtures.spec("wk-$it") }
        for (seed in 1..3) {
            val world = SimWorld(seed, troublesUntilMs = 0)
            jobs.forEachIndexed { i, spec -> world.submit(spec, i * 250L) }
            jobs.filterIndexed { i, _ -> i % 4 == 0 }.forEachIndexed { i, spec -> world.cancel(spec.id, i * 1_000L + Random(seed + i).nextLong(9_000)) }
            world.run(240_000)
            assertEquals(emptySet<String>(), world.recordedJobs, world.state())
            // Accepted, planned, ended: four puts and deletes each; what rounds and writes of learned state add is shared.
            assertTrue(world.writes < 7 * jobs.size, "${world.writes} writes for ${jobs.size} jobs")
        }
    }

    @Test
    fun `jobs end when machines get commands but their heartbeats are lost`() =
        holds(
            Scenario(lengthMs = 220_000) { random ->
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
    fun `jobs of all priorities end when there are more than fit, across failovers`() =
        holds(
            Scenario(jobs = ordinary + (40..55).map { Fixtures.spec("wk-$it", tasks = 9, priority = Priority.entries[it % 4]) }, lengthMs = 500_000) {
                at(20_000) { crashLeader(2_000) }
                at(60_000) { crashLeader(300) }
            },
        )

    @Test
    fun `each task of a small job starts once across failovers, but for those lost with a lease`() {
        for (seed in 1..SEEDS) {
            val scenario =
                Scenario(
                    extraRunTimeMs = 8_000,
                    jobs = (1..5).map { Fixtures.spec("wk-$it", tasks = 3) },
                ) { for (i in 1..5) at(4_000L * i) { crashLeader(400) } }
            val world = play(scenario, seed, noFaults)
            assertTrue(
                world.starts in 15..15 + world.tasksLostWithLease,
                "seed $seed: ${world.starts} starts, ${world.tasksLostWithLease} tasks lost with a lease${world.logs()}",
            )
        }
    }

    private companion object {
        const val SEEDS = 12
        const val SERVICE = "wk-9"
        val noFaults = PlantedFaults()
        val ordinary =
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
