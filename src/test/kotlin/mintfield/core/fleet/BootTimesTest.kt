package mintfield.core.fleet

import mintfield.Fixtures
import mintfield.core.Scheduler
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Limits from which booting machines are overdue, and the replacement of overdue machines. */
class BootTimesTest {
    @Test
    fun `the overdue limit follows from recent boots of the same type and zone`() {
        val bootTimes = BootTimes()
        val usual = bootTimes.overdueAfterMs(Fixtures.box, "north", 0)
        assertTrue(usual in 40_000..60_000, "usual boot time 25 s, up to 1.5 times that: $usual")
        bootTimes.recordBoot(Machine("m-1", Fixtures.box, "north", false), 70_000, 0)
        assertTrue(bootTimes.overdueAfterMs(Fixtures.box, "north", 1_000) > 80_000, "a recent boot took 70 s")
        assertEquals(usual, bootTimes.overdueAfterMs(Fixtures.box, "south", 1_000), "another zone")
        assertEquals(usual, bootTimes.overdueAfterMs(Fixtures.box, "north", 400_000), "the long boot is too old to count")
    }

    private fun scheduler(waiting: Int): Scheduler {
        val s = Scheduler(Fixtures.settings, 1) {}
        s.fleet.machineTypesRead(listOf(Fixtures.box), 0)
        s.fleet.machinesListed(emptyList(), false, 0)
        s.replay.complete(0)
        repeat(20) { s.heartbeat(Fixtures.heartbeat("m-%03d".format(it), 1, 1), mayAct = true, nowMs = 1_000) }
        s.jobChanged(Fixtures.accepted(Fixtures.spec("wk-000001", tasks = waiting), 1), 1_000)
        return s
    }

    private fun Scheduler.provisioned(
        number: Int,
        atMs: Long,
    ) = repeat(number) { fleet.registry.getOrAdd("n-%03d".format(it), "box", "north", false, atMs) }

    private fun Scheduler.requestedMachines(atMs: Long): Int {
        cluster.machines.values.forEach { if (it.state == MachineState.UP) it.heartbeats.recordContact(atMs) }
        tick(atMs)
        return fleet.unrecordedIntents.sumOf { it.number }
    }

    @Test
    fun `overdue machines are kept, and their capacity is provisioned elsewhere`() {
        // Otherwise machines that fail to boot would count as capacity until the boot timeout.
        val s = scheduler(waiting = 55)
        s.provisioned(2, 1_000)
        assertEquals(0, s.requestedMachines(30_000), "88 CPUs for a demand of 88")
        assertEquals(2, s.requestedMachines(60_000))
        assertEquals(
            2,
            s.cluster.machines.values
                .count { it.id.startsWith("n-") && it.state == MachineState.PROVISIONING },
        )
    }

    @Test
    fun `many machines overdue at once are not all replaced`() {
        // Otherwise the fleet would grow without bound while the cloud is slow to boot machines.
        val s = scheduler(waiting = 100)
        s.provisioned(20, 1_000)
        assertEquals(0, s.requestedMachines(30_000))
        assertTrue(s.requestedMachines(60_000) in 1..3, "at most 12 of 80 overdue CPUs are replaced")
    }
}
