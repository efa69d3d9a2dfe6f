package mintfield.sim

import kotlin.random.Random

/**
 * What all parts of one simulation share: the event queue, the only source of randomness and the planted faults. The number
 * and order of the draws decide what a seed plays.
 */
class SimulationContext(
    seed: Int,
    val faults: PlantedFaults,
) {
    val queue = EventQueue()
    val random = Random(seed)

    /** Simulated time in milliseconds. */
    val nowMs: Long get() = queue.nowMs

    /** Draws whether something of the given [probability] happens; it draws for a probability of 0 too. */
    fun chance(probability: Double): Boolean = random.nextDouble() < probability

    /** Runs [action] in [delayMs] milliseconds. */
    fun after(
        delayMs: Long,
        action: () -> Unit,
    ) = queue.after(delayMs, action)
}
