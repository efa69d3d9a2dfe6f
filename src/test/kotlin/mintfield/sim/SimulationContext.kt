package mintfield.sim

import kotlin.math.pow
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

    /** Whether an answered message is delivered once more; true with the given [probability]. Draws no random number for a probability of 0. */
    fun repeats(probability: Double): Boolean = probability > 0 && chance(probability)

    /** Milliseconds until an answered message is delivered once more: from one to [MAX_REPETITION_DELAY_MS], each order of magnitude equally likely. */
    fun repetitionDelayMs(): Long = MAX_REPETITION_DELAY_MS.pow(random.nextDouble()).toLong()

    /** Runs [action] in [delayMs] milliseconds. */
    fun after(
        delayMs: Long,
        action: () -> Unit,
    ) = queue.after(delayMs, action)

    private companion object {
        const val MAX_REPETITION_DELAY_MS = 120_000.0
    }
}
