package mintfield.sim

import java.util.PriorityQueue

/**
 * The clock of a simulation and its scheduled actions. Actions run in the order of their time; actions of the same millisecond
 * run in the order in which they were scheduled, so that a run is repeatable.
 */
class EventQueue {
    private class Event(
        val atMs: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private val events = PriorityQueue<Event>(compareBy<Event> { it.atMs }.thenBy { it.order })
    private var scheduled = 0L

    /** Simulated time in milliseconds, initially [START_MS]. */
    var nowMs = START_MS
        private set

    /** Runs [action] in [delayMs] milliseconds. */
    fun after(
        delayMs: Long,
        action: () -> Unit,
    ) {
        events.add(Event(nowMs + delayMs, scheduled++, action))
    }

    /** Runs [action] [sinceStartMs] milliseconds after the start of the simulation. */
    fun at(
        sinceStartMs: Long,
        action: () -> Unit,
    ) {
        events.add(Event(START_MS + sinceStartMs, scheduled++, action))
    }

    /** Runs the actions until [sinceStartMs] milliseconds after the start, and calls [afterEach] after every action. */
    fun runUntil(
        sinceStartMs: Long,
        afterEach: () -> Unit,
    ) {
        while (nowMs < START_MS + sinceStartMs) {
            val event = events.poll() ?: break
            nowMs = event.atMs
            event.action()
            afterEach()
        }
    }

    companion object {
        /** Simulated time at the start, in milliseconds; it is not 0, so that a timestamp that was never set lies far in the past. */
        const val START_MS = 100_000L
    }
}
