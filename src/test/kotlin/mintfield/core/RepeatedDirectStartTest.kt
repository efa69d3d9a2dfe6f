package mintfield.core

import mintfield.Fixtures
import mintfield.core.model.Priority
import mintfield.sim.SimWorker
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

/** Direct starts that were carried out and answered and reach the worker once more. */
class RepeatedDirectStartTest {
    /** How the task ends whose start arrives again. */
    enum class Ending { FAILED, COMPLETED, REFUSED, PREEMPTED, CANCELLED }

    private val leader = LeaderWithWorkers(machines = 2)
    private val worker: SimWorker get() = leader.workers.first()

    /** Makes the leader plan [JOB] on m-1 and start it there directly. */
    private fun startDirectly(tasks: Int = 4) {
        leader.heartbeats(listOf(worker))
        leader.pass(100)
        leader.heartbeats(listOf(worker))
        leader.submit(Fixtures.spec(JOB, tasks = tasks, priority = Priority.NORMAL))
        leader.commitAll()
        leader.callDirectly()
        assertEquals(1, leader.answeredCalls.size)
    }

    /** Ends the task of [JOB] as given by [ending], and exchanges messages until the worker has forgotten it. */
    private fun end(ending: Ending) {
        when (ending) {
            Ending.FAILED, Ending.REFUSED -> {}
            Ending.COMPLETED -> leader.pass(LONGEST_RUN_MS)
            Ending.PREEMPTED -> leader.submit(Fixtures.spec("wk-2", tasks = 4, priority = Priority.PRODUCTION))
            Ending.CANCELLED -> leader.cancel(JOB)
        }
        if (ending == Ending.FAILED) leader.pass(LONGEST_FAILURE_MS)
        worker.failsTasksUntilMs = 0
        worker.slots = 100
        val attempts = attemptsOfJob()
        repeat(40) {
            leader.pass(250)
            leader.heartbeats(listOf(worker))
            leader.commitAll()
            if (attemptsOfJob().none { it in attempts }) return
        }
        error("the worker still reports ${attemptsOfJob()}")
    }

    private fun attemptsOfJob() =
        worker.tasks
            .filterKeys { it.job == JOB }
            .map { it.key to it.value.attempt }
            .toSet()

    private fun startAndEnd(ending: Ending) {
        if (ending == Ending.FAILED) worker.failsTasksUntilMs = Long.MAX_VALUE
        if (ending == Ending.REFUSED) worker.slots = 0
        startDirectly()
        end(ending)
    }

    /** Delivers the start again, and checks that it starts nothing. */
    private fun assertRepetitionStartsNothing() {
        val starts = leader.starts
        val held = worker.tasks.keys.toSet()
        leader.repeatAnsweredCalls()
        assertEquals(starts, leader.starts, "tasks that the repeated call started: ${worker.tasks.keys - held}")
    }

    @Test
    fun `a start that arrives again while its task runs starts nothing`() {
        startDirectly()
        assertRepetitionStartsNothing()
    }

    @ParameterizedTest
    @EnumSource
    fun `a start that arrives again after its task ended and was acknowledged starts nothing`(ending: Ending) {
        startAndEnd(ending)
        assertRepetitionStartsNothing()
    }

    @ParameterizedTest
    @EnumSource
    fun `a start that arrives again after a raise of the term starts nothing`(ending: Ending) {
        startAndEnd(ending)
        leader.scheduler.fenceLateWrites()
        leader.commitAll()
        assertRepetitionStartsNothing()
    }

    @ParameterizedTest
    @EnumSource
    fun `a start that arrives again after a failover starts nothing, whichever leader acknowledged the exit`(ending: Ending) {
        startAndEnd(ending)
        leader.failOver()
        assertRepetitionStartsNothing()
        leader.heartbeats()
        assertRepetitionStartsNothing()
    }

    @Test
    fun `a start that arrives again after a successor acknowledged the exit starts nothing`() {
        worker.failsTasksUntilMs = Long.MAX_VALUE
        startDirectly()
        leader.failOver()
        end(Ending.FAILED)
        assertRepetitionStartsNothing()
    }

    @ParameterizedTest
    @EnumSource(names = ["FAILED", "REFUSED"])
    fun `a start that arrives again after its task was placed elsewhere starts nothing`(ending: Ending) {
        // Guards against ran_twice: the first machine had forgotten the failed attempt when the copy of its start came.
        startAndEnd(ending)
        worker.failsTasksUntilMs = Long.MAX_VALUE
        leader.run(6_000)
        val elsewhere = leader.workers.last().activeTasks()
        assertTrue(elsewhere.any { it.job == JOB }, "no task of the job on the second machine")
        leader.repeatAnsweredCalls()
        assertEquals(emptySet<Any>(), worker.activeTasks().toSet() intersect elsewhere.toSet(), "tasks on both machines")
    }

    @Test
    fun `a start that arrives again in a later incarnation of the worker starts nothing`() {
        startDirectly()
        leader.pass(LONGER_THAN_A_LEASE_MS)
        assertEquals(2, worker.incarnation)
        assertRepetitionStartsNothing()
        leader.heartbeats(listOf(worker))
        assertRepetitionStartsNothing()
    }

    @Test
    fun `every later leader, also one of an earlier version, has a term above the tokens that workers have seen`() {
        startAndEnd(Ending.FAILED)
        leader.run(3_000)
        val highestSeen = leader.workers.maxOf { it.term }
        assertTrue(highestSeen > leader.scheduler.cluster.firstTerm, "no token was raised")
        leader.failOver()
        assertTrue(leader.scheduler.cluster.firstTerm > highestSeen)
    }

    @Test
    fun `the worker forgets no attempt while a direct call is on its way`() {
        worker.failsTasksUntilMs = Long.MAX_VALUE
        startDirectly(tasks = 2)
        leader.submit(Fixtures.spec("wk-3"))
        leader.pass(LONGER_THAN_A_ROUND_MS)
        leader.commitAll()
        val inFlight = leader.scheduler.directCalls(leader.nowMs, 10)
        assertEquals(1, inFlight.size)
        leader.pass(LONGEST_FAILURE_MS)
        leader.heartbeats(listOf(worker))
        assertEquals(2, attemptsOfJob().size)
    }

    @Test
    fun `exits of direct starts are acknowledged at once, so that they do not fill the heartbeats of a machine with short tasks`() {
        worker.slots = SLOTS
        for (i in 1..40) leader.submit(Fixtures.spec("wk-${100 + i}", tasks = 5))
        var mostEnded = 0
        repeat(120) {
            leader.run(500)
            mostEnded = maxOf(mostEnded, leader.workers.maxOf { each -> each.tasks.count { it.value.exitReason != null } })
        }
        assertTrue(leader.answeredCalls.size > 20, "only ${leader.answeredCalls.size} direct calls")
        assertTrue(mostEnded <= SLOTS, "$mostEnded ended tasks in a heartbeat")
    }

    private companion object {
        const val JOB = "wk-1"

        /** CPUs of a machine, and thus tasks that it holds at a time. */
        const val SLOTS = 4

        /** Longer than any task runs. */
        const val LONGEST_RUN_MS = 9_000L

        /** Longer than a failing task runs. */
        const val LONGEST_FAILURE_MS = 1_500L

        /** Longer than the interval between two scheduling rounds. */
        const val LONGER_THAN_A_ROUND_MS = 600L

        const val LONGER_THAN_A_LEASE_MS = 10_500L
    }
}
