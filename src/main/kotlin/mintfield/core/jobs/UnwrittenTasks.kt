package mintfield.core.jobs

import java.util.BitSet

/** The tasks of one job whose state has changed since it was last written, which the next round record must cover. */
class UnwrittenTasks {
    private val indices = BitSet()

    /** Time since which a change that need not be written at once has been unwritten, in milliseconds of monotonic time; 0 without any. */
    var sinceMs = 0L
        private set

    /** Whether the store has the current state of all tasks. Updated with each change, since every commit reads it for every job. */
    var isEmpty = true
        private set

    /** Marks the state of task [index] as unwritten. */
    fun add(index: Int) {
        indices.set(index)
        isEmpty = false
    }

    /** Removes task [index], after its state was added to a record. */
    fun remove(index: Int) {
        indices.clear(index)
        isEmpty = indices.isEmpty
    }

    /** Whether the state of task [index] is unwritten. */
    operator fun contains(index: Int): Boolean = indices.get(index)

    /** Index of the first unwritten task at or after [index], or -1. */
    fun nextFrom(index: Int): Int = indices.nextSetBit(index)

    /** The unwritten tasks that match [predicate], by default all, in ascending order. */
    inline fun filter(predicate: (Int) -> Boolean = { true }): List<Int> {
        val found = ArrayList<Int>()
        var index = nextFrom(0)
        while (index >= 0) {
            if (predicate(index)) found.add(index)
            index = nextFrom(index + 1)
        }
        return found
    }

    /** Sets [sinceMs] to [nowMs], unless an earlier change is still unwritten. */
    fun waitSince(nowMs: Long) {
        if (sinceMs == 0L) sinceMs = nowMs
    }

    /** Resets [sinceMs] if all changes have been added to records. */
    fun endWaitIfEmpty() {
        if (isEmpty) sinceMs = 0
    }

    /** Marks all changes so far as written. */
    fun clear() {
        indices.clear()
        isEmpty = true
        sinceMs = 0
    }
}
