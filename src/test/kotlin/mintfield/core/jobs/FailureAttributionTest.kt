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

/** Jobs submitted with a mistake fail on every machine, and faulty machines fail every job. The two causes must be distinguished. */
class FailureAttributionTest {
    private var now = 1_000L
    private var term = 1L
    private val sequences = HashMap<String, Long>()
    private val broken = HashSet<String>()
    private val faulty = HashSet<String>()
    private val running = HashMap<String, MutableList<TaskStatus>>()
    private var starts = 0

    private fun scheduler(machines: Int): Scheduler {
        val scheduler = Scheduler(Fixtures.settings, term) {}
        scheduler.fleet.machineTypesRead(listOf(Fixtures.box), now)
        scheduler.replay.complete(now)
        repeat(machines) { heartbeat(scheduler, "m-%03d".format(it)) }
        return scheduler
    }

    private fun heartbeat(
        scheduler: Scheduler,
        machine: String,
    ) {
        val sequence = (sequences[machine] ?: 0) + 1
        sequences[machine] = sequence
        val tasks = running.getOrPut(machine) { ArrayList() }
        val heartbeat: Heartbeat = Fixtures.heartbeat(machine, sequence, term, *tasks.toTypedArray())
        val response = scheduler.heartbeat(heartbeat, mayAct = true, nowMs = now) as mintfield.core.HeartbeatResponse.Commands
        for (command in response.commands) {
            when (command) {
                is WorkerCommand.Acknowledge, is WorkerCommand.Stop -> tasks.removeAll { it.task == command.task && it.attempt == command.attempt }
                is WorkerCommand.Start -> {
                    starts++
                    val fails = machine in faulty || command.task.job in broken
                    tasks.removeAll { it.task == command.task }
                    tasks.add(
                        if (fails) {
                            TaskStatus(command.task, command.attempt, TaskState.ENDED, ExitReason.ERROR)
                        } else {
                            TaskStatus(command.task, command.attempt, TaskState.RUNNING, null)
                        },
                    )
                }
            }
        }
    }

    /** Simulates one second: a round, its write, and a heartbeat of every machine. */
    private fun Scheduler.simulateSecond() {
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

    private val Scheduler.releasing get() = cluster.machines.values.filter { it.state == mintfield.core.fleet.MachineState.RELEASING }

    @Test
    fun `a job that fails everywhere is probed with few tasks and no machine is released for it`() {
        // Guards against a broken job of hundreds of tasks that uses as many slots with every retry and gets whole racks released.
        val scheduler = scheduler(20)
        broken.addAll(listOf("wk-000001", "wk-000002", "wk-000003"))
        scheduler.submit("wk-000001", 60)
        scheduler.submit("wk-000002", 60)
        scheduler.submit("wk-000003", 2, Shape.SERVICE)
        repeat(60) { scheduler.simulateSecond() }
        val job = scheduler.cluster.jobs.getValue("wk-000001")
        assertEquals(JobHealth.SUSPECT, job.health)
        assertEquals(
            JobHealth.SUSPECT,
            scheduler.cluster.jobs
                .getValue("wk-000003")
                .health,
        )
        assertTrue(job.demand <= 2, "capacity requested for ${job.demand} tasks")
        assertTrue(starts < 60 + 60 + 2 + 3 * 20, "$starts starts in a minute")
        assertEquals(emptyList<Any>(), scheduler.releasing)
        scheduler.submit("wk-000004", 60)
        scheduler.simulateSecond()
        scheduler.simulateSecond()
        assertTrue(
            scheduler.cluster.jobs
                .getValue("wk-000004")
                .activeAttempts.size > 50,
            "no machine is quarantined because of the broken jobs",
        )
    }

    @Test
    fun `a machine that fails every job is released though each job is new`() {
        // Guards against marking the jobs suspect: each has a single task that fails on one machine and runs on another.
        val scheduler = scheduler(6)
        faulty.add("m-000")
        repeat(3) { scheduler.submit("wk-1%05d".format(it), 1) }
        repeat(30) { scheduler.simulateSecond() }
        assertEquals(listOf("m-000"), scheduler.releasing.map { it.id })
        val idle =
            scheduler.cluster.jobs.values
                .filter { it.health == JobHealth.SUSPECT || it.activeAttempts.isEmpty() }
        assertEquals(
            emptyList<String>(),
            idle.map { "${it.id} ${it.health} fails ${it.failureRecord.failures} ${it.failedOn} after ${it.notBeforeMs - now}" },
            scheduler.summary(now),
        )
    }

    @Test
    fun `a suspect job has no task limit any more once one of its tasks keeps running`() {
        val scheduler = scheduler(10)
        broken.add("wk-000001")
        scheduler.submit("wk-000001", 30)
        repeat(10) { scheduler.simulateSecond() }
        assertEquals(
            JobHealth.SUSPECT,
            scheduler.cluster.jobs
                .getValue("wk-000001")
                .health,
        )
        broken.clear()
        repeat(60) { scheduler.simulateSecond() }
        val job = scheduler.cluster.jobs.getValue("wk-000001")
        assertEquals(JobHealth.HEALTHY, job.health)
        assertEquals(30, job.activeAttempts.size)
    }

    @Test
    fun `a new leader restores the suspect jobs of its predecessor`() {
        val scheduler = scheduler(10)
        broken.add("wk-000001")
        scheduler.submit("wk-000001", 30)
        repeat(10) { scheduler.simulateSecond() }
        now += 20_000
        val learnedState =
            scheduler
                .nextCommit(now, now, 16)!!
                .writes
                .filterIsInstance<Write.SaveLearnedState>()
                .single()
                .learnedState
        val next = Scheduler(Fixtures.settings, 90) {}
        next.fleet.machineTypesRead(listOf(Fixtures.box), now)
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
    fun `a machine is added in the zone of a job after the zone has lost its last one`() {
        // Guards against counting CPUs of all zones together: those of another zone would leave the job waiting forever.
        val scheduler = scheduler(6)
        scheduler.fleet.machinesListed(emptyList(), false, now)
        scheduler.jobChanged(Fixtures.accepted(Fixtures.spec("wk-000001", tasks = 2, zone = "south"), 1), now)
        scheduler.tick(now)
        assertEquals(
            "south",
            scheduler.fleet.unrecordedIntents
                .single()
                .zone,
        )
    }
}
