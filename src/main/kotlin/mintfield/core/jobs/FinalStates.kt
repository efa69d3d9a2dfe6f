package mintfield.core.jobs

import mintfield.core.model.FinalState

/**
 * Final states kept in memory, the least recently used dropped first. A map of the JDK: Guava's cache initialises
 * `java.util.logging`, which took a tenth of a start.
 */
class FinalStates(
    private val capacity: Int,
) {
    private val states =
        object : LinkedHashMap<String, FinalState>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, FinalState>) = size > capacity
        }

    /** The final state of job [id], if it is kept here. */
    operator fun get(id: String): FinalState? = states[id]

    /** Keeps [state] as that of job [id]. */
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
