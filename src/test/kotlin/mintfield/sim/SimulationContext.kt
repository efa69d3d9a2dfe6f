package mintfield.sim

import kotlin.random.Random

/**
 * State shared by all parts of one simulation: the event queue, the only source of randomness and the injected defects. The
 * events that a seed produces depend on the number and order of the random draws.
 */
class SimulationContext(
    seed: Int,
    val defects: InjectedDefects,
) {
    val queue = EventQueue()
    val random = Random(seed)

    /** Simulated time in milliseconds. */
    val nowMs: Long get() = queue.nowMs

    /** Returns true with the given [probability]. Draws a random number for a probability of 0 too. */
    fun chance(probability: Double): Boolean = random.nextDouble() < probability

    /** Runs [action] in [delayMs] milliseconds. */
    fun after(
        delayMs: Long,
        action: () -> Unit,
    ) = queue.after(delayMs, action)
}
