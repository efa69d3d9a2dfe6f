package mintfield.core.jobs

import mintfield.core.model.FinalState

/**
 * A cache of final states, at most [capacity], that drops the least recently used first. It is a map of the JDK, and not Guava's cache,
 * which initialises `java.util.logging` and so makes starts slower. Not thread-safe.
 */
class FinalStates(
    private val capacity: Int,
) {
    private val states =
        object : LinkedHashMap<String, FinalState>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, FinalState>) = size > capacity
        }

    /** The final state of job [id], if it is cached. */
    operator fun get(id: String): FinalState? = states[id]

    /** Caches [state] as the final state of job [id]. */
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
