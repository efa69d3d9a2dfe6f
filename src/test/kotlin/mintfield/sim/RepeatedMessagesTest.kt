package mintfield.sim

import mintfield.Fixtures
import mintfield.core.LeaderRecord
import mintfield.core.model.JobSpec
import mintfield.core.model.Priority
import mintfield.core.model.Shape
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Simulations in which messages that were carried out and answered are delivered once more, from a millisecond to two minutes later. */
class RepeatedMessagesTest {
    /** Jobs of all priorities, more than the machines hold, while tasks fail, jobs are cancelled and leaders crash. */
    private fun simulate(
        seed: Int,
        faults: SimulatedCluster.() -> Unit,
    ): SimulatedCluster {
        val cluster = SimulatedCluster(seed, randomFaultsUntilMs = FAULTS_UNTIL_MS)
        jobs.forEachIndexed { i, spec -> cluster.submit(spec, i * SUBMISSION_INTERVAL_MS) }
        cluster.faults()
        val random = Random(seed)
        for (i in 1..10) cluster.at(5_000L * i) { forEachMachine { if (random.nextInt(3) == 0) it.failsTasksUntilMs = nowMs + random.nextLong(1_000, 4_000) } }
        for (i in 1..6) cluster.cancel("wk-${4 * i}", 6_000L * i + random.nextLong(2_000))
        for (i in 1..3) cluster.at(15_000L * i + random.nextLong(5_000)) { crashLeader(random.nextLong(50, 3_500)) }
        try {
            cluster.run(DURATION_MS)
        } catch (e: RuleViolation) {
            throw AssertionError("seed $seed: ${e.message}", e)
        }
        assertEquals(emptyList<String>(), cluster.unfinishedJobs.filter { it != SERVICE }, "seed $seed, not ended:\n${cluster.describeState()}")
        return cluster
    }

    @Test
    fun `no task runs twice or after its cancellation when direct commands that were answered arrive again`() {
        var repeated = 0
        for (seed in 1..SEEDS) repeated += simulate(seed) { network.repeatedCallFraction = 0.5 }.network.repeatedCalls
        assertTrue(repeated > SEEDS * MIN_REPETITIONS, "only $repeated commands arrived again in $SEEDS simulations")
    }

    @Test
    fun `no task runs twice and no deleted record is back when transactions that were answered arrive again`() {
        var repeated = 0
        for (seed in 1..SEEDS) {
            val transactions = simulate(seed) { transactions.repeatedFraction = 0.5 }.transactions
            assertEquals(emptyList<LeaderRecord>(), transactions.recreated, "seed $seed: records created again")
            repeated += transactions.repeated
        }
        assertTrue(repeated > SEEDS * MIN_REPETITIONS, "only $repeated transactions arrived again in $SEEDS simulations")
    }

    @Test
    fun `an earlier version that replays by revision applies the round records in the order of their keys`() {
        for (seed in 1..SEEDS / 4) {
            simulate(seed) {
                transactions.repeatedFraction = 0.5
                for (second in 1..100) at(second * 1_000L) { assertInOrderOfKeys(seed) }
            }
        }
    }

    private fun SimulatedCluster.assertInOrderOfKeys(seed: Int) {
        for ((earlier, later) in roundKeysByRevision.zipWithNext()) {
            assertTrue(earlier.max() < later.min(), "seed $seed: $earlier has a lower revision than $later")
        }
    }

    private companion object {
        const val SEEDS = 60
        const val DURATION_MS = 400_000L
        const val FAULTS_UNTIL_MS = 90_000L
        const val SUBMISSION_INTERVAL_MS = 700L

        /** Least number of repeated messages expected in a simulation on average. */
        const val MIN_REPETITIONS = 10

        /** Id of the service, which never ends. */
        const val SERVICE = "wk-99"

        val jobs: List<JobSpec> =
            (1..30).map { Fixtures.spec("wk-$it", tasks = 1 + it % 9, priority = Priority.entries[it % 4], team = if (it % 5 == 0) "small" else "floor") } +
                Fixtures.spec(SERVICE, shape = Shape.SERVICE, priority = Priority.HIGH, spot = false)
    }
}
