package mintfield.core.jobs

import mintfield.core.model.FinalState

/**
 * LRU cache of the final states of at most [capacity] jobs. It uses a JDK map because Guava's cache initialises `java.util.logging`,
 * which slows down the start of the process. Not thread-safe.
 */
class FinalStates(
    private val capacity: Int,
) {
    private val states =
        object : LinkedHashMap<String, FinalState>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, FinalState>) = size > capacity
        }

    /** The final state of job [id], or null if it is not cached. */
    operator fun get(id: String): FinalState? = states[id]

    /** Caches [state] as the final state of job [id]; evicts the least recently used entry if the cache is full. */
    operator fun set(
        id: String,
        state: FinalState,
    ) {
        states[id] = state
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
