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
 * Meetings of troubles, brought about in the simulation: under each the rules hold, what was accepted ends once the troubles
 * are over, and nothing is left of what was cancelled. With the guard taken out that a meeting tries, a rule breaks.
 */
class MeetingsTest {
    /** A day with arrays, a service and a team at its limit; [script] adds the meeting. */
    private class Day(
        val extraRunTimeMs: Long = 0,
        val jobs: List<JobSpec> = ordinary,
        val lengthMs: Long = 150_000,
        val script: SimWorld.(Random) -> Unit,
    )

    private fun play(
        day: Day,
        seed: Int,
        faults: PlantedFaults,
    ): SimWorld {
        val w = SimWorld(seed, faults, day.extraRunTimeMs, troublesUntilMs = 0)
        day.jobs.forEachIndexed { i, spec -> w.submit(spec, i * 150L) }
        w.at(0) { day.script(this, Random(seed)) }
        try {
            w.run(day.lengthMs)
        } catch (e: RuleViolation) {
            throw if (faults === sound) AssertionError("seed $seed: ${e.message}", e) else e
        }
        return w
    }

    private fun holds(day: Day) {
        for (seed in 1..SEEDS) {
            val w = play(day, seed, sound)
            val left = w.recordedJobs.filter { it != SERVICE }
            assertEquals(emptyList<String>(), left, "seed $seed, not ended:\n${w.state()}${w.logs()}")
        }
    }

    private fun breaks(
        day: Day,
        faults: PlantedFaults,
        vararg rules: String,
    ) {
        val broken = assertThrows(RuleViolation::class.java) { for (seed in 1..3 * SEEDS) play(day, seed, faults) }
        assertTrue(rules.any { broken.message!!.startsWith(it) }, broken.message)
    }

    @Test
    fun `all controllers are away for longer than a lease, and one returns within a second`() =
        holds(
            Day { random ->
                at(6_000) { crashLeader(random.nextLong(11_000, 16_000)) }
                at(30_000) { crashLeader(300) }
                at(30_400) { crashLeader(random.nextLong(100, 900)) }
            },
        )

    @Test
    fun `a leader cut from the store and its siblings keeps workers, while jobs are cancelled through the new one`() {
        val day =
            Day(extraRunTimeMs = 90_000, lengthMs = 500_000) { random ->
                at(8_000) { partitionLeader(60_000) }
                for (i in 1..5) at(9_000 + random.nextLong(6_000)) { cancelNow("wk-$i") }
            }
        holds(day)
        breaks(day, PlantedFaults(assumeWatermarkComplete = true), "ran_cancelled")
    }

    @Test
    fun `new machines work at once while writes lag, and the leader ends`() {
        val day =
            Day { random ->
                transactions.lateWriteShare = 0.3
                at(4_000) { forEachMachine("south") { it.alive = false } }
                for (i in 1..6) at(5_000L * i + random.nextLong(2_000)) { crashLeader(random.nextLong(100, 3_500)) }
                at(40_000) { transactions.lateWriteShare = 0.0 }
            }
        holds(day)
        breaks(day, PlantedFaults(startUnplanned = true), "ran_twice", "quota")
    }

    @Test
    fun `a leader ends while machines with long tasks hang, are cut off, or don't hear the new one`() {
        val day =
            Day(extraRunTimeMs = 20_000, lengthMs = 300_000) { random ->
                for (i in 0..3) {
                    at(6_000 + i * 15_000L) {
                        forEachMachine { if (random.nextInt(3) == 0) it.deafUntil = nowMs + random.nextLong(4_000, 30_000) }
                        forEachMachine { if (random.nextInt(3) == 0) it.hungUntil = nowMs + random.nextLong(2_000, 9_000) }
                    }
                    at(7_000 + i * 15_000L) { crashLeader(random.nextLong(200, 4_000)) }
                }
            }
        holds(day)
        breaks(day, PlantedFaults(releaseOnSilence = true), "ran_twice", "quota")
    }

    @Test
    fun `leaders change ten times, also inside an outage`() =
        holds(
            Day(lengthMs = 200_000) { random ->
                for (i in 1..10) at(3_000L + i * 5_000) { crashLeader(random.nextLong(50, 2_000)) }
                at(22_000) { storeOutage(14_000) }
            },
        )

    @Test
    fun `old reports come to the next leader as the first thing heard of a machine`() {
        val day =
            Day(extraRunTimeMs = 8_000, lengthMs = 300_000) { random ->
                network.copiedHeartbeatShare = 0.5
                for (i in 1..4) at(14_000L * i) { crashLeader(random.nextLong(100, 3_000)) }
                at(20_000) { forEachMachine("north") { if (random.nextBoolean()) it.alive = false } }
                at(25_000) { forEachMachine { if (random.nextInt(3) == 0) it.deafUntil = nowMs + random.nextLong(5_000, 15_000) } }
            }
        holds(day)
        breaks(day, PlantedFaults(ignoreHeartbeatOrder = true), "ran_twice", "quota")
    }

    @Test
    fun `jobs are cancelled in the seconds in which one controller's work changes hands`() {
        val day =
            Day(extraRunTimeMs = 90_000, lengthMs = 500_000) { random ->
                for (i in 1..5) {
                    at(6_000L + i * 6_000) { crashLeader(random.nextLong(50, 3_000)) }
                    at(6_000L + i * 6_000 + random.nextLong(-1_000, 3_500)) { cancelNow("wk-$i") }
                }
            }
        holds(day)
        breaks(day, PlantedFaults(hideCancellations = true), "ran_cancelled", "went_back")
    }

    @Test
    fun `commands are held up for seconds and the machine then goes on`() {
        val day =
            Day(jobs = ordinary + (40..55).map { Fixtures.spec("wk-$it", tasks = 9, priority = Priority.entries[it % 4]) }, lengthMs = 600_000) { random ->
                for (i in 1..12) at(3_000L * i) { forEachMachine { if (random.nextInt(3) == 0) it.hungUntil = nowMs + random.nextLong(1_000, 9_000) } }
                at(15_000) { crashLeader(1_000) }
            }
        holds(day)
        breaks(day, PlantedFaults(releaseOnSilence = true), "ran_twice", "quota")
    }

    @Test
    fun `jobs bound to a zone lose its machines`() =
        holds(
            Day(jobs = ordinary + Fixtures.spec("wk-30", tasks = 12, zone = "south"), lengthMs = 200_000) { random ->
                at(7_000) { forEachMachine("south") { it.alive = false } }
                at(8_000) { crashLeader(random.nextLong(200, 3_000)) }
                at(40_000) { forEachMachine("south") { if (random.nextBoolean()) it.alive = false } }
            },
        )

    @Test
    fun `transactions are carried out and only their answers lost, or carried out after newer ones`() {
        fun day(writes: SimWorld.() -> Unit) =
            Day(lengthMs = 220_000) { random ->
                writes()
                for (i in 1..5) at(7_000L * i + random.nextLong(3_000)) { crashLeader(random.nextLong(100, 3_500)) }
                for (i in 1..2) at(9_000L * i) { cancelNow("wk-$i") }
                at(45_000) {
                    transactions.lateWriteShare = 0.0
                    transactions.lostAnswerShare = 0.0
                }
            }
        holds(day { transactions.lostAnswerShare = 0.4 })
        val late = day { transactions.lateWriteShare = 0.3 }
        holds(late)
        breaks(late, PlantedFaults(startUnplanned = true), "ran_twice", "quota", "swept")
    }

    @Test
    fun `a cancellation meets the end of a job's last task`() {
        val day = Day { transactions.cancelAtEndShare = 0.8 }
        holds(day)
        breaks(day, PlantedFaults(hideCancellations = true, ignorePreconditions = true), "went_back")
    }

    @Test
    fun `a team is at its limit while jobs are cancelled whose machines hang or are cut off, and the leader changes`() {
        val team = (1..8).map { Fixtures.spec("wk-$it", tasks = 6, team = "small") }
        val day =
            Day(extraRunTimeMs = 15_000, jobs = team, lengthMs = 400_000) { random ->
                for (i in 1..3) {
                    val from = 10_000L + i * 20_000
                    at(from) {
                        forEachMachine { if (random.nextBoolean()) it.deafUntil = nowMs + random.nextLong(5_000, 25_000) }
                        forEachMachine { if (random.nextInt(3) == 0) it.hungUntil = nowMs + 8_000 }
                    }
                    at(from + 500) { for (j in 1..2) cancelNow("wk-${2 * i + j - 2}") }
                    at(from + random.nextLong(400, 1_500)) { crashLeader(random.nextLong(100, 2_000)) }
                }
            }
        holds(day)
        breaks(day, PlantedFaults(skipCancelledInReplay = true), "quota", "ran_cancelled")
    }

    @Test
    fun `jobs of one task come four a second, a quarter of them cancelled`() {
        val jobs = (1..240).map { Fixtures.spec("wk-$it") }
        for (seed in 1..3) {
            val w = SimWorld(seed, troublesUntilMs = 0)
            jobs.forEachIndexed { i, spec -> w.submit(spec, i * 250L) }
            jobs.filterIndexed { i, _ -> i % 4 == 0 }.forEachIndexed { i, spec -> w.cancel(spec.id, i * 1_000L + Random(seed + i).nextLong(9_000)) }
            w.run(240_000)
            assertEquals(emptySet<String>(), w.recordedJobs, w.state())
            // Accepted, planned, ended: four puts and deletes each; what rounds and renewals of hints add is shared.
            assertTrue(w.writes < 7 * jobs.size, "${w.writes} writes for ${jobs.size} jobs")
        }
    }

    @Test
    fun `machines that reach no controller are not taken for what they were when commands still reach them`() =
        holds(
            Day(lengthMs = 220_000) { random ->
                for (i in 1..4) at(8_000L * i) { forEachMachine { if (random.nextInt(3) == 0) it.mutedUntil = nowMs + random.nextLong(5_000, 30_000) } }
                at(17_000) { crashLeader(random.nextLong(100, 3_000)) }
            },
        )

    @Test
    fun `more work than room, urgent and not, while leaders change`() =
        holds(
            Day(jobs = ordinary + (40..55).map { Fixtures.spec("wk-$it", tasks = 9, priority = Priority.entries[it % 4]) }, lengthMs = 500_000) {
                at(20_000) { crashLeader(2_000) }
                at(60_000) { crashLeader(300) }
            },
        )

    @Test
    fun `tasks of small jobs end far apart, each once, across a change of leader`() {
        for (seed in 1..SEEDS) {
            val day =
                Day(extraRunTimeMs = 8_000, jobs = (1..5).map { Fixtures.spec("wk-$it", tasks = 3) }) { for (i in 1..5) at(4_000L * i) { crashLeader(400) } }
            val w = play(day, seed, sound)
            assertTrue(
                w.starts in 15..15 + w.tasksLostWithLease,
                "seed $seed: ${w.starts} starts, ${w.tasksLostWithLease} tasks forgotten with a lease${w.logs()}",
            )
        }
    }

    private companion object {
        const val SEEDS = 12
        const val SERVICE = "wk-9"
        val sound = PlantedFaults()
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
