package mintfield.core.jobs

import java.util.BitSet

/** The tasks of one job whose state has changed since it was last written: what the next round record must cover. */
class UnwrittenTasks {
    private val indices = BitSet()

    /** Since when something has waited to be written that need not be written at once, in steady milliseconds; 0 if nothing has. */
    var sinceMs = 0L
        private set

    /** Whether the store knows all tasks as they are. */
    val isEmpty: Boolean get() = indices.isEmpty

    /** The state of task [index] is to be written. */
    fun add(index: Int) = indices.set(index)

    /** The state of task [index] has been taken into a record. */
    fun remove(index: Int) = indices.clear(index)

    /** The first unwritten task from [index] on, or -1. */
    fun nextFrom(index: Int): Int = indices.nextSetBit(index)

    /** Something waits from [nowMs] on, unless something has waited for longer. */
    fun waitSince(nowMs: Long) {
        if (sinceMs == 0L) sinceMs = nowMs
    }

    /** Nothing waits any more if all has been taken into records. */
    fun endWaitIfEmpty() {
        if (isEmpty) sinceMs = 0
    }

    /** All that has changed so far is in the store. */
    fun clear() {
        indices.clear()
        sinceMs = 0
    }
}
