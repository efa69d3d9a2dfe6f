package mintfield.core.placement

import mintfield.Fixtures
import mintfield.core.Scheduler
import mintfield.core.Write
import mintfield.core.model.JobSpec
import mintfield.core.model.Priority
import mintfield.core.model.Shape
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The machines on which a scheduling round places tasks, and the tasks that it leaves waiting. */
class SchedulingRoundTest {
    private fun scheduler(
        machines: Int,
        image: String? = null,
    ): Scheduler {
        val s = Scheduler(Fixtures.settings, 1) {}
        s.fleet.machineTypesRead(listOf(Fixtures.box), 1_000)
        s.replay.complete(1_000)
        repeat(machines) { i -> s.heartbeat(Fixtures.heartbeat("m-%03d".format(i), 1, 1), mayAct = true, nowMs = 1_000) }
        image?.let {
            s.cluster.machines
                .getValue("m-000")
                .images
                .markPresent(it, 1.0)
        }
        return s
    }

    private var now = 2_000L

    private fun Scheduler.planned(job: String): Int {
        now += 300
        val round = nextCommit(now, now, 16)?.writes?.filterIsInstance<Write.RecordRound>().orEmpty()
        return round.sumOf { w ->
            w.record.parts
                .filter { it.job == job }
                .sumOf { p -> p.plans.sumOf { it.indices.size } }
        }
    }

    private fun Scheduler.submit(spec: JobSpec) = jobChanged(Fixtures.accepted(spec, 1, atMs = now), now)

    private var heartbeatSequence = 1L

    /** Advances the time by [seconds], with a heartbeat of each machine in every second. */
    private fun Scheduler.pass(seconds: Int) =
        repeat(seconds) {
            now += 1_000
            heartbeatSequence++
            cluster.machines.values
                .toList()
                .forEach { heartbeat(Fixtures.heartbeat(it.id, heartbeatSequence, 1, zone = it.zone), mayAct = true, nowMs = now) }
        }

    @Test
    fun `arrays leave capacity for new replicas, but not on each machine`() {
        val s = scheduler(40)
        s.submit(Fixtures.spec("wk-000001", shape = Shape.SERVICE, priority = Priority.HIGH, spot = false))
        s.submit(Fixtures.spec("wk-000002", tasks = 300))
        val planned = s.planned("wk-000002")
        assertTrue(planned > 160 - 1 - 40, "only $planned of 160 tasks planned: capacity for a replica is reserved on each of 40 machines")
        val free =
            s.cluster.machines.values
                .count { it.freeCpus >= 1 }
        assertTrue(free >= 8, "capacity for a replica on only $free machines: of the last 32 slots, one on each machine must stay free")
    }

    @Test
    fun `an array does not wait indefinitely beside capacity reserved for replicas`() {
        val s = scheduler(1)
        s.submit(Fixtures.spec("wk-000001", shape = Shape.SERVICE, priority = Priority.HIGH, cpus = 2.0, spot = false))
        assertEquals(1, s.planned("wk-000001"))
        s.submit(Fixtures.spec("wk-000002", tasks = 2))
        assertEquals(0, s.planned("wk-000002"), "two of four CPUs are reserved for another replica")
        s.pass(PLACEMENT_LIMIT_S)
        // A younger array with the same requirements must not hide that the older one may use the reserve.
        s.submit(Fixtures.spec("wk-000003", tasks = 1))
        assertEquals(2, s.planned("wk-000002"))
    }

    @Test
    fun `a job does not wait indefinitely beside a machine on which it failed`() {
        val s = scheduler(4)
        s.submit(Fixtures.spec("wk-000001", tasks = 3, cpus = 4.0))
        assertEquals(3, s.planned("wk-000001"))
        val empty =
            s.cluster.machines.values
                .single { it.freeCpus > 0 }
        s.submit(Fixtures.spec("wk-000002"))
        s.cluster.jobs
            .getValue("wk-000002")
            .failureRecord
            .recordFailure(empty, ranMs = 0, nowMs = now)
        s.pass(1)
        assertEquals(0, s.planned("wk-000002"), "the job avoids the machine on which it failed")
        s.pass(PLACEMENT_LIMIT_S)
        assertEquals(1, s.planned("wk-000002"))
    }

    @Test
    fun `a job bound to one zone does not wait for the zone whose machines have no memory for it`() {
        val s = scheduler(1)
        s.heartbeat(Fixtures.heartbeat("m-100", 1, 1, zone = "south"), mayAct = true, nowMs = now)
        s.submit(Fixtures.spec("wk-000001", zone = "north").copy(memoryGb = 15.0))
        s.submit(Fixtures.spec("wk-000002", zone = "south", cpus = 2.0))
        assertEquals(1, s.planned("wk-000001"))
        s.submit(Fixtures.spec("wk-000003", tasks = 2, oneZone = true).copy(memoryGb = 4.0))
        assertEquals(2, s.planned("wk-000003"), "the north has 3 CPUs and 1 GB free, the south 2 CPUs and 15 GB")
    }

    @Test
    fun `an array that no machine could host beside a replica is not hidden by one with smaller tasks`() {
        val s = scheduler(2)
        s.submit(Fixtures.spec("wk-000001", shape = Shape.SERVICE, priority = Priority.HIGH, cpus = 2.0, spot = false))
        s.submit(Fixtures.spec("wk-000002"))
        assertEquals(1, s.planned("wk-000001"))
        // Free are 2 CPUs on one machine and 3 on the other. A task of 1.5 CPUs needs 3.5, one of 2.5 CPUs no reserve beside it.
        s.submit(Fixtures.spec("wk-000003", cpus = 1.5))
        s.submit(Fixtures.spec("wk-000004", cpus = 2.5))
        assertEquals(1, s.planned("wk-000004"))
    }

    @Test
    fun `an array does not wait indefinitely beside machines reserved for a gang`() {
        val s = scheduler(2)
        s.submit(Fixtures.spec("wk-000001", tasks = 2, cpus = 3.0))
        assertEquals(2, s.planned("wk-000001"))
        s.submit(Fixtures.spec("wk-000002", tasks = 8, shape = Shape.GANG))
        s.pass(GANG_RESERVATION_S)
        s.submit(Fixtures.spec("wk-000003"))
        assertEquals(0, s.planned("wk-000003"), "both machines are reserved for the gang")
        s.pass(PLACEMENT_LIMIT_S)
        assertEquals(1, s.planned("wk-000003"))
    }

    @Test
    fun `no machine is reserved for a gang that its team's limit keeps from being placed`() {
        val s = scheduler(1)
        s.submit(Fixtures.spec("wk-000001", team = "small", cpus = 3.0))
        assertEquals(1, s.planned("wk-000001"))
        s.submit(Fixtures.spec("wk-000002", tasks = 4, shape = Shape.GANG, team = "small"))
        s.pass(GANG_RESERVATION_S)
        s.submit(Fixtures.spec("wk-000003"))
        assertEquals(1, s.planned("wk-000003"))
    }

    @Test
    fun `a task waits for capacity on a machine with its image when a fetch would take longer`() {
        val s = scheduler(2, image = "img-1")
        s.submit(Fixtures.spec("wk-000001", tasks = 4, image = "img-1"))
        assertEquals(4, s.planned("wk-000001"), "all tasks fit on the machine that has the image")
        s.submit(Fixtures.spec("wk-000002", tasks = 1, image = "img-1"))
        assertEquals(0, s.planned("wk-000002"), "a slot becomes free within 5 s, a fetch takes 10 s")
        s.submit(Fixtures.spec("wk-000003", tasks = 4, image = "img-1"))
        assertTrue(s.planned("wk-000003") > 0, "the wait for five tasks is longer than the fetch")
    }

    private companion object {
        /** Limit of the rule that no job waits while a machine that fits has room, less the time that an image fetch may take. */
        const val PLACEMENT_LIMIT_S = 60

        /** Wait after which machines are reserved for a gang. */
        const val GANG_RESERVATION_S = 91
    }
}
