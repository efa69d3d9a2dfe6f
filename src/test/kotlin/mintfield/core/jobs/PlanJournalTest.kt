package mintfield.core.jobs

import mintfield.Fixtures
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertAll
import kotlin.random.Random

/** The round records that are left in the store must lead a new leader to the same state as all records ever written. */
class PlanJournalTest {
    private val sound = Fixtures.spec("wk-sound", tasks = 8)
    private val mistaken = Fixtures.spec("wk-mistaken", tasks = 8)

    /** Two jobs planned by one record; then all tasks of the mistaken one fail, and once more those that were planned again. */
    private fun afterFailures(): JournalWithHistory {
        val store = JournalWithHistory(listOf(sound, mistaken))
        for (index in 0 until 8) {
            store.plan(store.job(sound.id), index, "m-1")
            store.plan(store.job(mistaken.id), index, "m-2")
        }
        store.commit()
        val job = store.job(mistaken.id)
        for (index in 0 until 8) store.release(job, index)
        for (index in 0 until 2) store.plan(job, index, "m-3")
        store.commit()
        for (index in 0 until 2) store.release(job, index)
        store.commit()
        store.deleteObsolete()
        return store
    }

    @Test
    fun `the last record that states a release is kept while an older record still plans the task`() {
        // Guards against quota (review/1): the successor started tasks again whose release was stated by a deleted record only.
        val store = afterFailures()
        store.failOver()
        assertEquals(0, store.job(mistaken.id).activeAttempts.size)
        assertEquals(8, store.job(sound.id).activeAttempts.size)
    }

    @Test
    fun `a second successor still knows the releases after the first one has written records`() {
        val store = afterFailures()
        store.failOver()
        store.plan(store.job(mistaken.id), 5, "m-4")
        store.commit()
        store.deleteObsolete()
        store.failOver()
        assertEquals(listOf(5), store.job(mistaken.id).activeAttempts.map { it.index })
    }

    @Test
    fun `releases stay stated while a record that is kept as unreadable plans their tasks`() {
        val store = afterFailures()
        store.failOver(unreadable = 1)
        repeat(3) {
            store.requestRewrites()
            store.commit()
            store.deleteObsolete()
        }
        assertTrue(store.stored.first() === store.history.first(), "the unreadable record is kept")
        store.failOver()
        assertEquals(0, store.job(mistaken.id).activeAttempts.size)
    }

    @Test
    fun `old records of a job that only waits are written again and become obsolete`() {
        val store = afterFailures()
        store.requestRewrites()
        store.commit()
        store.requestRewrites()
        store.commit()
        store.deleteObsolete()
        assertTrue(store.stored.size <= 2, "${store.stored.size} records are left")
        assertEquals(store.stateAfter(store.history), store.stateAfter(store.stored))
    }

    @Test
    fun `the records left lead to the same state as all records, whatever was planned, released, done, refused or deleted`() {
        assertAll((1..SEEDS).map { seed -> { playRandomly(seed) } })
    }

    @Test
    fun `no transaction states a plan of a team at its limit before the releases that made room for it`() {
        // Guards against quota: the successor started tasks again whose release did not fit into the transaction with the plans that use their quota.
        val store = withFailedAndLargeJob(maxCpus = 2 * TaskChunks.TASKS_PER_CHUNK)
        assertEquals(emptySet<String>(), plannedJobs(store.apply { commit(maxWrites = 1) }), "the releases take the only record")
        assertEquals(setOf("wk-large"), plannedJobs(store.apply { commit(maxWrites = 1) }))
    }

    @Test
    fun `the plans of a team below its limit do not wait for its releases`() {
        val store = withFailedAndLargeJob(maxCpus = 2 * TaskChunks.TASKS_PER_CHUNK + 8)
        assertEquals(setOf("wk-failed", "wk-large"), plannedJobs(store.apply { commit(maxWrites = 1) }))
    }

    /** All 8 tasks of one job were planned and are released; the plans of a large job of the same team do not fit into one record. */
    private fun withFailedAndLargeJob(maxCpus: Int): JournalWithHistory {
        val failed = Fixtures.spec("wk-failed", tasks = 8)
        val large = Fixtures.spec("wk-large", tasks = 2 * TaskChunks.TASKS_PER_CHUNK)
        val store = JournalWithHistory(listOf(failed, large), maxCpus)
        for (index in 0 until failed.tasks) store.plan(store.job(failed.id), index, "m-1")
        store.commit()
        for (index in 0 until failed.tasks) store.release(store.job(failed.id), index)
        for (index in 0 until large.tasks) store.plan(store.job(large.id), index, "m-2")
        return store
    }

    /** The jobs of which the records in the store state a task as planned. */
    private fun plannedJobs(store: JournalWithHistory) =
        store
            .stateAfter(store.stored)
            .keys
            .map { it.substringBefore('/') }
            .toSet()

    @Test
    fun `a job bound to one zone that was placed elsewhere is never stated in two zones`() {
        // Guards against wrong_place: the successor started tasks in the zone that the job had left.
        val moved = Fixtures.spec("wk-moved", tasks = 2 * TaskChunks.TASKS_PER_CHUNK, oneZone = true)
        val store = JournalWithHistory(listOf(moved))
        for (index in 0 until moved.tasks) store.plan(store.job(moved.id), index, "m-1")
        repeat(4) { store.commit() }
        for (index in 0 until moved.tasks) store.release(store.job(moved.id), index)
        for (index in 0 until moved.tasks) store.plan(store.job(moved.id), index, "m-2")
        repeat(8) { transaction ->
            store.commit(maxWrites = 1)
            val machines =
                store
                    .stateAfter(store.stored)
                    .values
                    .map { it.substringBefore('@') }
                    .toSet()
            assertTrue(machines.size <= 1, "transaction $transaction: the job is planned on $machines, in different zones")
        }
        assertEquals(store.job(moved.id).activeAttempts.size, store.stateAfter(store.stored).size)
    }

    @Test
    fun `a spread job that was placed anew is never stated with more than half of its tasks in one zone`() {
        // Guards against wrong_place, as above.
        val spread = Fixtures.spec("wk-spread", tasks = 2 * TaskChunks.TASKS_PER_CHUNK, spread = true)
        val store = JournalWithHistory(listOf(spread))
        val half = spread.tasks / 2
        for (index in 0 until spread.tasks) store.plan(store.job(spread.id), index, if (index < half) "m-1" else "m-2")
        repeat(4) { store.commit() }
        for (index in 0 until spread.tasks) store.release(store.job(spread.id), index)
        for (index in 0 until spread.tasks) store.plan(store.job(spread.id), index, if (index < half) "m-2" else "m-1")
        repeat(8) { transaction ->
            store.commit(maxWrites = 1)
            val inZones =
                store
                    .stateAfter(store.stored)
                    .values
                    .groupingBy { it.substringBefore('@') }
                    .eachCount()
            assertTrue(inZones.values.all { it <= half }, "transaction $transaction: $inZones of ${spread.tasks} tasks on machines in different zones")
        }
        assertEquals(spread.tasks, store.stateAfter(store.stored).size)
    }

    @Test
    fun `the plans in the store never use more than the quota, whatever fits into a transaction`() {
        assertAll((1..QUOTA_SEEDS).map { seed -> { playWithinQuota(seed) } })
    }

    private fun playWithinQuota(seed: Int) {
        val random = Random(seed)
        val jobs = List(8) { Fixtures.spec("wk-$it", tasks = 150) }
        val store = JournalWithHistory(jobs, maxCpus = QUOTA)
        repeat(QUOTA_STEPS) { step ->
            val attempts =
                store.cluster.jobs.values
                    .flatMap { it.activeAttempts }
            attempts.shuffled(random).take(random.nextInt(QUOTA)).forEach { store.release(it.job, it.index) }
            var free =
                QUOTA -
                    store.cluster.jobs.values
                        .sumOf { it.activeAttempts.size }
            for (job in store.cluster.jobs.values
                .shuffled(random)) {
                val planned = job.waiting(random.nextInt(free + 1))
                planned.forEach { store.plan(job, it, "m-1") }
                free -= planned.size
            }
            if (random.nextInt(4) == 0) store.commitWithoutResponse(applied = random.nextBoolean()) else store.commit(maxWrites = 1 + random.nextInt(2))
            if (random.nextInt(6) == 0) store.failOver()
            val used = store.stateAfter(store.stored).size
            assertTrue(used <= QUOTA, "$used tasks are planned in the store, the quota is $QUOTA: seed $seed, step $step")
        }
    }

    private fun playRandomly(seed: Int) {
        val random = Random(seed)
        val jobs = listOf(3, 8, 2 * TaskChunks.TASKS_PER_CHUNK).mapIndexed { number, tasks -> Fixtures.spec("wk-$number", tasks) }
        val store = JournalWithHistory(jobs)
        repeat(STEPS) { step ->
            repeat(random.nextInt(6)) { changeRandomTask(store, jobs.random(random).id, random) }
            when (random.nextInt(12)) {
                0 -> store.refusedCommit()
                1 -> store.requestRewrites()
                2 -> store.failOver()
                3, 4 -> store.deleteObsolete(random.nextInt(3))
                else -> store.commit(maxWrites = 1 + random.nextInt(4))
            }
            val expected = store.stateAfter(store.history)
            val replayed = store.stateAfter(store.stored)
            assertEquals(expected - replayed.keys, replayed - expected.keys, "tasks after all records, after the records left: seed $seed, step $step")
            assertEquals(expected, replayed, "seed $seed, step $step")
        }
    }

    private fun changeRandomTask(
        store: JournalWithHistory,
        id: String,
        random: Random,
    ) {
        val job = store.job(id)
        val index = random.nextInt(job.spec.tasks)
        val machine = "m-${1 + random.nextInt(JournalWithHistory.MACHINES)}"
        when {
            job.attempt(index) != null -> if (random.nextInt(8) == 0) store.complete(job, index) else store.release(job, index)
            !job.progress.isDone(index) -> store.plan(job, index, machine)
        }
    }

    private companion object {
        const val SEEDS = 20
        const val STEPS = 120
        const val QUOTA_SEEDS = 5
        const val QUOTA_STEPS = 30

        /** Number of tasks that may be planned at once; their plans need more than one record. */
        const val QUOTA = 300
    }
}
