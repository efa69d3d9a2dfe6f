package mintfield

import mintfield.core.Scheduler
import mintfield.core.Write
import mintfield.core.jobs.Belief
import mintfield.core.model.EndCause
import mintfield.core.model.Order
import mintfield.core.model.Report
import mintfield.core.model.ReportedState
import mintfield.core.model.ReportedTask
import mintfield.core.model.Shape
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Jobs submitted with a mistake fail on every machine; faulty machines fail every job. Each must not pass for the other. */
class FailureAttributionTest {
    private var now = 1_000L
    private var term = 1L
    private val tallies = HashMap<String, Long>()
    private val broken = HashSet<String>()
    private val sick = HashSet<String>()
    private val running = HashMap<String, MutableList<ReportedTask>>()
    private var starts = 0

    private fun scheduler(machines: Int): Scheduler {
        val s = Scheduler(Fixtures.settings, term) {}
        s.types(listOf(Fixtures.box), now)
        s.replayDone(now)
        repeat(machines) { report(s, "m-%03d".format(it)) }
        return s
    }

    private fun report(
        s: Scheduler,
        machine: String,
    ) {
        val tally = (tallies[machine] ?: 0) + 1
        tallies[machine] = tally
        val tasks = running.getOrPut(machine) { ArrayList() }
        val report: Report = Fixtures.report(machine, tally, term, *tasks.toTypedArray())
        val answer = s.report(report, mayAct = true, nowMs = now) as mintfield.core.ReportAnswer.Orders
        for (o in answer.orders) {
            when (o) {
                is Order.Clear, is Order.Halt -> tasks.removeAll { it.task == o.task && it.attempt == o.attempt }
                is Order.Run -> {
                    starts++
                    val fails = machine in sick || o.task.job in broken
                    tasks.removeAll { it.task == o.task }
                    tasks.add(
                        if (fails) {
                            ReportedTask(o.task, o.attempt, ReportedState.ENDED, EndCause.ERROR)
                        } else {
                            ReportedTask(o.task, o.attempt, ReportedState.RUNNING, null)
                        },
                    )
                }
            }
        }
    }

    /** One second: a round, its write, and a report of every machine. */
    private fun Scheduler.second() {
        now += 1_000
        nextCommit(now, now, 16)?.let { committed(it, mintfield.core.CommitResult.Done(now), now) }
        cluster.machines.values
            .filter { it.state != mintfield.core.fleet.MachineState.CONDEMNED }
            .forEach { report(this, it.id) }
        tick(now)
    }

    private fun Scheduler.submit(
        id: String,
        tasks: Int,
        shape: Shape = Shape.ARRAY,
    ) = jobChanged(Fixtures.accepted(Fixtures.spec(id, tasks = tasks, shape = shape, spot = false), 1), now)

    private val Scheduler.condemned get() = cluster.machines.values.filter { it.state == mintfield.core.fleet.MachineState.CONDEMNED }

    @Test
    fun `a job that fails everywhere is tried with few tasks and condemns no machine`() {
        // Guards against broken jobs of hundreds of tasks taking as many slots with every try, and whole racks with them.
        val s = scheduler(20)
        broken.addAll(listOf("wk-000001", "wk-000002", "wk-000003"))
        s.submit("wk-000001", 60)
        s.submit("wk-000002", 60)
        s.submit("wk-000003", 2, Shape.SERVICE)
        repeat(60) { s.second() }
        val job = s.cluster.jobs.getValue("wk-000001")
        assertEquals(Belief.DOUBTED, job.belief)
        assertEquals(
            Belief.DOUBTED,
            s.cluster.jobs
                .getValue("wk-000003")
                .belief,
        )
        assertTrue(job.demand <= 2, "it claims room for ${job.demand} tasks")
        assertTrue(starts < 60 + 60 + 2 + 3 * 20, "$starts starts in a minute")
        assertEquals(emptyList<Any>(), s.condemned)
        s.submit("wk-000004", 60)
        s.second()
        s.second()
        assertTrue(
            s.cluster.jobs
                .getValue("wk-000004")
                .activeAttempts.size > 50,
            "no machine is set aside for it",
        )
    }

    @Test
    fun `a machine that fails every job is returned though each job is new`() {
        // Guards against taking the jobs for broken: single tasks that fail on one machine and run on another.
        val s = scheduler(6)
        sick.add("m-000")
        repeat(3) { s.submit("wk-1%05d".format(it), 1) }
        repeat(30) { s.second() }
        assertEquals(listOf("m-000"), s.condemned.map { it.id })
        val idle =
            s.cluster.jobs.values
                .filter { it.belief == Belief.DOUBTED || it.activeAttempts.isEmpty() }
        assertEquals(
            emptyList<String>(),
            idle.map { "${it.id} ${it.belief} fails ${it.failures} ${it.failedOn} after ${it.notBeforeMs - now}" },
            s.summary(now),
        )
    }

    @Test
    fun `a doubted job goes on in full as soon as a task of it lasts`() {
        val s = scheduler(10)
        broken.add("wk-000001")
        s.submit("wk-000001", 30)
        repeat(10) { s.second() }
        assertEquals(
            Belief.DOUBTED,
            s.cluster.jobs
                .getValue("wk-000001")
                .belief,
        )
        broken.clear()
        repeat(60) { s.second() }
        val job = s.cluster.jobs.getValue("wk-000001")
        assertEquals(Belief.SOUND, job.belief)
        assertEquals(30, job.activeAttempts.size)
    }

    @Test
    fun `a successor remembers which jobs fail everywhere`() {
        val s = scheduler(10)
        broken.add("wk-000001")
        s.submit("wk-000001", 30)
        repeat(10) { s.second() }
        now += 20_000
        val hints =
            s
                .nextCommit(now, now, 16)!!
                .writes
                .filterIsInstance<Write.Remember>()
                .single()
                .hints
        val next = Scheduler(Fixtures.settings, 90) {}
        next.types(listOf(Fixtures.box), now)
        next.submit("wk-000001", 30)
        next.recall(hints)
        next.replayDone(now)
        assertEquals(
            Belief.DOUBTED,
            next.cluster.jobs
                .getValue("wk-000001")
                .belief,
        )
        assertFalse(
            next.cluster.jobs
                .getValue("wk-000001")
                .askable > 2,
        )
    }

    @Test
    fun `a job whose zone has lost its last machine gets one there`() {
        // Guards against counting CPUs alone: those of another zone would leave it waiting for ever.
        val s = scheduler(6)
        s.listed(emptyList(), false, now)
        s.jobChanged(Fixtures.accepted(Fixtures.spec("wk-000001", tasks = 2, zone = "south"), 1), now)
        s.tick(now)
        assertEquals(
            "south",
            s.fleet.wishes
                .single()
                .zone,
        )
    }
}
