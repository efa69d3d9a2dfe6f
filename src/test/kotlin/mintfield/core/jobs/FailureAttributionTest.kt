package mintfield.core.jobs

import mintfield.Fixtures
import mintfield.core.Scheduler
import mintfield.core.Write
import mintfield.core.model.ExitReason
import mintfield.core.model.Heartbeat
import mintfield.core.model.Shape
import mintfield.core.model.TaskState
import mintfield.core.model.TaskStatus
import mintfield.core.model.WorkerCommand
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Jobs submitted with a mistake fail on every machine; faulty machines fail every job. Each must not pass for the other. */
class FailureAttributionTest {
    private var now = 1_000L
    private var term = 1L
    private val sequences = HashMap<String, Long>()
    private val broken = HashSet<String>()
    private val faulty = HashSet<String>()
    private val running = HashMap<String, MutableList<TaskStatus>>()
    private var starts = 0

    private fun scheduler(machines: Int): Scheduler {
        val s = Scheduler(Fixtures.settings, term) {}
        s.types(listOf(Fixtures.box), now)
        s.replay.complete(now)
        repeat(machines) { heartbeat(s, "m-%03d".format(it)) }
        return s
    }

    private fun heartbeat(
        s: Scheduler,
        machine: String,
    ) {
        val sequence = (sequences[machine] ?: 0) + 1
        sequences[machine] = sequence
        val tasks = running.getOrPut(machine) { ArrayList() }
        val heartbeat: Heartbeat = Fixtures.heartbeat(machine, sequence, term, *tasks.toTypedArray())
        val answer = s.heartbeat(heartbeat, mayAct = true, nowMs = now) as mintfield.core.HeartbeatResponse.Commands
        for (o in answer.commands) {
            when (o) {
                is WorkerCommand.Acknowledge, is WorkerCommand.Stop -> tasks.removeAll { it.task == o.task && it.attempt == o.attempt }
                is WorkerCommand.Start -> {
                    starts++
                    val fails = machine in faulty || o.task.job in broken
                    tasks.removeAll { it.task == o.task }
                    tasks.add(
                        if (fails) {
                            TaskStatus(o.task, o.attempt, TaskState.ENDED, ExitReason.ERROR)
                        } else {
                            TaskStatus(o.task, o.attempt, TaskState.RUNNING, null)
                        },
                    )
                }
            }
        }
    }

    /** One second: a round, its write, and a heartbeat of every machine. */
    private fun Scheduler.second() {
        now += 1_000
        nextCommit(now, now, 16)?.let { committed(it, mintfield.core.CommitResult.Done(now), now) }
        cluster.machines.values
            .filter { it.state != mintfield.core.fleet.MachineState.RELEASING }
            .forEach { heartbeat(this, it.id) }
        tick(now)
    }

    private fun Scheduler.submit(
        id: String,
        tasks: Int,
        shape: Shape = Shape.ARRAY,
    ) = jobChanged(Fixtures.accepted(Fixtures.spec(id, tasks = tasks, shape = shape, spot = false), 1), now)

    private val Scheduler.condemned get() = cluster.machines.values.filter { it.state == mintfield.core.fleet.MachineState.RELEASING }

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
        assertEquals(JobHealth.SUSPECT, job.health)
        assertEquals(
            JobHealth.SUSPECT,
            s.cluster.jobs
                .getValue("wk-000003")
                .health,
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
        faulty.add("m-000")
        repeat(3) { s.submit("wk-1%05d".format(it), 1) }
        repeat(30) { s.second() }
        assertEquals(listOf("m-000"), s.condemned.map { it.id })
        val idle =
            s.cluster.jobs.values
                .filter { it.health == JobHealth.SUSPECT || it.activeAttempts.isEmpty() }
        assertEquals(
            emptyList<String>(),
            idle.map { "${it.id} ${it.health} fails ${it.failures} ${it.failedOn} after ${it.notBeforeMs - now}" },
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
            JobHealth.SUSPECT,
            s.cluster.jobs
                .getValue("wk-000001")
                .health,
        )
        broken.clear()
        repeat(60) { s.second() }
        val job = s.cluster.jobs.getValue("wk-000001")
        assertEquals(JobHealth.HEALTHY, job.health)
        assertEquals(30, job.activeAttempts.size)
    }

    @Test
    fun `a successor remembers which jobs fail everywhere`() {
        val s = scheduler(10)
        broken.add("wk-000001")
        s.submit("wk-000001", 30)
        repeat(10) { s.second() }
        now += 20_000
        val learnedState =
            s
                .nextCommit(now, now, 16)!!
                .writes
                .filterIsInstance<Write.SaveLearnedState>()
                .single()
                .learnedState
        val next = Scheduler(Fixtures.settings, 90) {}
        next.types(listOf(Fixtures.box), now)
        next.submit("wk-000001", 30)
        next.replay.restore(learnedState)
        next.replay.complete(now)
        assertEquals(
            JobHealth.SUSPECT,
            next.cluster.jobs
                .getValue("wk-000001")
                .health,
        )
        assertFalse(
            next.cluster.jobs
                .getValue("wk-000001")
                .schedulableTasks > 2,
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
            s.fleet.wantedIntents
                .single()
                .zone,
        )
    }
}
