package mintfield.core

/** Collects the writes of one transaction and counts the remaining capacity. */
internal class CommitBatch(
    remaining: Int,
) {
    /** Number of further writes that fit; negative if the last write exceeded the capacity. */
    var remaining = remaining
        private set

    val writes = ArrayList<Write>()

    /** Adds [write], which uses [cost] of the capacity. */
    fun add(
        write: Write,
        cost: Int = 1,
    ) {
        writes.add(write)
        remaining -= cost
    }

    /** Adds the writes for [candidates] in order until the capacity is used up. */
    fun <T> addAll(
        candidates: Sequence<T>,
        write: (T) -> Write,
    ) = candidates.take(maxOf(0, remaining)).forEach { add(write(it)) }

    /** Calls [fill] with [writes] and the remaining capacity. It adds to the writes and returns the capacity that it used. */
    inline fun addBy(fill: (MutableList<Write>, Int) -> Int) {
        remaining -= fill(writes, remaining)
    }

    /** Whether a write of [cost] must wait for the next transaction. The first write of a transaction never does. */
    fun isFullFor(cost: Int): Boolean = remaining < cost && writes.isNotEmpty()
}
