package mintfield.core

/** The writes of one transaction while it is put together, and how many more there is room for. */
internal class CommitBatch(
    remaining: Int,
) {
    /** How many further writes there is room for; negative if the last one took more. */
    var remaining = remaining
        private set

    val writes = ArrayList<Write>()

    /** Adds [write], which takes [cost] of the permitted writes. */
    fun add(
        write: Write,
        cost: Int = 1,
    ) {
        writes.add(write)
        remaining -= cost
    }

    /** Adds the writes for [candidates], from the first on, as long as there is room. */
    fun <T> addAll(
        candidates: Sequence<T>,
        write: (T) -> Write,
    ) = candidates.take(maxOf(0, remaining)).forEach { add(write(it)) }

    /** Lets [fill] add to [writes]; it is given the room that is left, and returns how much of it was taken. */
    inline fun addBy(fill: (MutableList<Write>, Int) -> Int) {
        remaining -= fill(writes, remaining)
    }

    /** Whether a write of [cost] has to wait for the next transaction. The first one never has to. */
    fun lacksRoomFor(cost: Int): Boolean = remaining < cost && writes.isNotEmpty()
}
