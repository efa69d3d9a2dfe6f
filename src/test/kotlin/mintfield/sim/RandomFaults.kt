package mintfield.sim

import mintfield.Fixtures

/** Injects a random fault every few seconds: elections, hung, lost or unreachable machines, late heartbeats and partitioned zones. */
class RandomFaults(
    private val context: SimulationContext,
    private val cloud: SimulatedCloud,
    private val elect: () -> Unit,
    /** Milliseconds after the start of the simulation until which faults are injected; 0 for no faults. */
    private val untilMs: Long,
) {
    private val random get() = context.random

    /** Schedules the first fault; each fault schedules the next one. */
    fun start() {
        if (untilMs > 0) scheduleNext()
    }

    private fun scheduleNext() {
        context.after(random.nextLong(500, 4_000)) {
            injectFault()
            if (context.nowMs - EventQueue.START_MS < untilMs) scheduleNext()
        }
    }

    private fun injectFault() {
        val nowMs = context.nowMs
        when (random.nextInt(8)) {
            0 -> elect()
            1 -> cloud.workers.random(random).let { it.hungUntilMs = nowMs + random.nextLong(1_000, 15_000) }
            2 -> if (cloud.workers.count { it.alive } > MIN_ALIVE_MACHINES) cloud.workers.random(random).alive = false
            3 -> cloud.workers.random(random).nextHeartbeatAtMs = nowMs + random.nextLong(4_000, 14_000)
            6 -> cloud.workers.random(random).let { it.unreachableUntilMs = nowMs + random.nextLong(500, 40_000) }
            7 -> partitionZone()
            else -> {}
        }
    }

    /** Partitions the machines of one zone from all leaders for 3 to 25 s; in half of the cases an election follows 5 to 14 s later. */
    private fun partitionZone() {
        val untilMs = context.nowMs + random.nextLong(3_000, 25_000)
        val zone = Fixtures.settings.zones.random(random)
        for (worker in cloud.workers) {
            if (worker.zone != zone) continue
            worker.unreachableUntilMs = untilMs
            worker.nextHeartbeatAtMs = untilMs + random.nextLong(500)
        }
        if (context.chance(0.5)) context.after(random.nextLong(5_000, 14_000), elect)
    }

    private companion object {
        /** A machine is removed only while more than this number are alive. */
        const val MIN_ALIVE_MACHINES = 4
    }
}
