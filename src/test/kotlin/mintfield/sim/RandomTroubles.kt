package mintfield.sim

import mintfield.Fixtures

/** Troubles drawn at random, one every few seconds: elections, and machines that hang, vanish or are cut off, one or a zone. */
class RandomTroubles(
    private val context: SimulationContext,
    private val cloud: SimulatedCloud,
    private val elect: () -> Unit,
    /** Milliseconds after the beginning until which troubles come; 0 for none. */
    private val untilMs: Long,
) {
    private val random get() = context.random

    /** Schedules the first trouble, and with each the next. */
    fun begin() {
        if (untilMs > 0) scheduleNext()
    }

    private fun scheduleNext() {
        context.after(random.nextLong(500, 4_000)) {
            strike()
            if (context.nowMs - EventQueue.START_MS < untilMs) scheduleNext()
        }
    }

    private fun strike() {
        val nowMs = context.nowMs
        when (random.nextInt(8)) {
            0 -> elect()
            1 -> cloud.workers.random(random).let { it.hungUntilMs = nowMs + random.nextLong(1_000, 15_000) }
            2 -> if (cloud.workers.count { it.alive } > MACHINES_LEFT) cloud.workers.random(random).alive = false
            3 -> cloud.workers.random(random).nextHeartbeatAtMs = nowMs + random.nextLong(4_000, 14_000)
            6 -> cloud.workers.random(random).let { it.unreachableUntilMs = nowMs + random.nextLong(500, 40_000) }
            7 -> partitionZone()
            else -> {}
        }
    }

    /** Nothing comes out of a zone or into it for a while; at times a new leader is elected meanwhile. */
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
        /** Machines that are left alive, at least. */
        const val MACHINES_LEFT = 4
    }
}
