package mintfield.core.placement

import mintfield.Fixtures
import mintfield.core.Cluster
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState
import mintfield.core.jobs.Job
import mintfield.core.model.JobSpec
import mintfield.core.model.Objective
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** The order of jobs when demand exceeds capacity. */
class JobOrderTest {
    private val objectives = listOf(Objective("deadline", "slice", null, 0.9, 1.0), Objective("finished", "slice", 250.0, 0.995, null))

    private fun cluster(machines: Int): Cluster {
        val c = Cluster(Fixtures.settings.copy(objectives = objectives), 1) {}
        c.types["box"] = Fixtures.box
        repeat(machines) { i ->
            val m = Machine("m-$i", Fixtures.box, "north", false)
            m.moveTo(MachineState.UP, 0)
            c.machines[m.id] = m
        }
        return c
    }

    private fun Cluster.add(
        id: String,
        tasks: Int,
        acceptedAtMs: Long,
    ): Job {
        val spec: JobSpec = Fixtures.spec(id, tasks = tasks, deadlineS = 70.0)
        return Job(Fixtures.accepted(spec, 1, acceptedAtMs)).also { jobs[id] = it }
    }

    @Test
    fun `a postponed job goes first when it must start now to meet a strict objective`() {
        // Guards against postponing the largest jobs for as long as demand is high: they would miss an objective that only 5 in 1,000 jobs may miss.
        val c = cluster(100)
        c.add("wk-000001", 100, acceptedAtMs = 0)
        repeat(40) { c.add("wk-1%05d".format(it), 20, acceptedAtMs = 195_000) }
        val early = JobOrder(c).sorted(c.jobs.values.toList(), wallMs = 150_000)
        assertEquals("wk-000001", early.last().id, "jobs that can meet their next objective go first as long as the large job can still start later")
        val late = JobOrder(c).sorted(c.jobs.values.toList(), wallMs = 200_000)
        assertEquals("wk-000001", late.first().id)
    }

    @Test
    fun `expedited jobs hold no more than their fraction of the CPUs`() {
        val c = cluster(100)
        val large = (1..4).map { c.add("wk-00000$it", 100, acceptedAtMs = 0) }
        repeat(10) { c.add("wk-1%05d".format(it), 20, acceptedAtMs = 198_000) }
        val order = JobOrder(c).sorted(c.jobs.values.toList(), wallMs = 205_000)
        assertEquals(1, order.takeWhile { it in large }.size, "one job of 100 CPUs may be expedited on 400 CPUs, two would hold half of them")
    }
}
