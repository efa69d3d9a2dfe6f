package mintfield.core.dependencies

import mintfield.Fixtures
import mintfield.core.Cluster
import mintfield.core.constants.UserApiConstants
import mintfield.core.jobs.Job
import mintfield.core.jobs.KnownJob
import mintfield.core.model.FinalState
import mintfield.core.model.JobPhase
import mintfield.core.model.Priority
import mintfield.core.placement.JobOrder
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class InheritedUrgencyTest {
    private val cluster = Cluster(Fixtures.settings, 1) {}.also { it.types["box"] = Fixtures.box }
    private val known = HashMap<String, KnownJob>()
    private val graph = DependencyGraph { known[it] }
    private val urgency = InheritedUrgency(cluster, graph)
    private var revision = 1L
    private var nowMs = 0L

    private fun submit(
        id: String,
        vararg predecessors: String,
        priority: Priority = Priority.IDLE,
        deadlineS: Double? = null,
        tasks: Int = 2,
        team: String = "floor",
    ): Job {
        val spec =
            Fixtures
                .spec(
                    id,
                    tasks,
                    priority = priority,
                    estimateS = 20.0,
                    deadlineS = deadlineS,
                    team = team,
                ).copy(predecessors = predecessors.toList())
        val accepted = Fixtures.accepted(spec, ++revision)
        known[id] = KnownJob.Live(accepted)
        graph.onRecordWritten(accepted)
        return Job(accepted).also { cluster.jobs[id] = it }
    }

    private fun refresh(wallMs: Long = 0) = urgency.refresh(nowMs.also { nowMs += UserApiConstants.INHERITANCE_REFRESH_MS }, wallMs)

    private fun end(
        id: String,
        phase: JobPhase,
    ) {
        graph.onJobEnded(id, FinalState(phase, 1))
        graph.onRecordRemoved(id)
        cluster.jobs.remove(id)
    }

    @Test
    fun `the first job inherits the priority and deadline of the last, less the expected time of the jobs in between`() {
        val first = submit("wk-1")
        val middle = submit("wk-2", "wk-1")
        submit("wk-3", "wk-2", priority = Priority.HIGH, deadlineS = 200.0)
        refresh()
        assertEquals(listOf(Priority.HIGH, Priority.HIGH), listOf(first.priority, middle.priority))
        val middleDue = middle.inheritedDueMs!!
        val firstDue = first.inheritedDueMs!!
        assertTrue(middleDue < 200_000 - 20_000, "the last job runs for 20 s: $middleDue")
        assertEquals(200_000 - middleDue, middleDue - firstDue, 1.0)
    }

    @Test
    fun `the most urgent of several successors counts, until it ends or is cancelled`() {
        val first = submit("wk-1")
        submit("wk-2", "wk-1", priority = Priority.HIGH, deadlineS = 100.0)
        submit("wk-3", "wk-1", priority = Priority.NORMAL, deadlineS = 300.0)
        refresh()
        val due = first.inheritedDueMs!!
        end("wk-2", JobPhase.CANCELLED)
        refresh()
        assertEquals(Priority.NORMAL, first.priority)
        assertTrue(first.inheritedDueMs!! > due)
        end("wk-3", JobPhase.CANCELLED)
        refresh()
        assertEquals(Priority.IDLE to null, first.priority to first.inheritedDueMs)
    }

    @Test
    fun `a job preempts with its inherited priority only while that decides whether the deadline is met`() {
        val first = submit("wk-1")
        submit("wk-2", "wk-1", priority = Priority.HIGH, deadlineS = 300.0)
        refresh()
        assertEquals(Priority.HIGH to Priority.IDLE, first.priority to first.preemptionPriority)
        val lastStartMs = first.inheritedDueMs!!.toLong() - 40_000
        refresh(lastStartMs)
        assertEquals(Priority.HIGH, first.preemptionPriority)
        refresh(lastStartMs + 60_000)
        assertEquals(Priority.IDLE, first.preemptionPriority, "preemption is too late to meet the deadline")
    }

    @Test
    fun `a last job that is submitted late passes its priority to all its predecessors`() {
        val first = submit("wk-1")
        val second = submit("wk-2", "wk-1")
        refresh()
        assertEquals(Priority.IDLE, first.priority)
        submit("wk-3", "wk-2", priority = Priority.PRODUCTION)
        refresh()
        assertEquals(listOf(Priority.PRODUCTION, Priority.PRODUCTION), listOf(first.priority, second.priority))
    }

    @Test
    fun `a job that waits for predecessors has no demand and uses none of its team's guaranteed quota`() {
        submit("wk-1", team = "small")
        val waiting = submit("wk-2", "wk-1", tasks = 2, team = "small")
        assertEquals(listOf(0, 0), listOf(waiting.schedulableTasks, waiting.demand))
        submit("wk-3", tasks = 0, team = "small")
        assertEquals(setOf("wk-1", "wk-3"), JobOrder(cluster).guaranteed())
        waiting.becomeReady(5_000)
        assertEquals(2, waiting.schedulableTasks)
        assertEquals(5_000L, waiting.readySinceMs)
    }

    @Test
    fun `priority is inherited along a chain of thousands of jobs in one pass`() {
        submit("wk-0")
        for (i in 1 until CHAIN) submit("wk-$i", "wk-${i - 1}")
        submit("wk-$CHAIN", "wk-${CHAIN - 1}", priority = Priority.HIGH)
        refresh()
        assertEquals(Priority.HIGH, cluster.jobs.getValue("wk-0").priority)
    }

    private companion object {
        const val CHAIN = 10_000
    }
}
