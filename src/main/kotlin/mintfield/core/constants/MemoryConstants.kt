package mintfield.core.constants

/** Estimates of a leader's heap; see docs/capacity.md. */
object MemoryConstants {
    /** Heap that a leader needs regardless of the size of its fleet. */
    const val HEAP_BASE_BYTES = 40L * 1024 * 1024

    /** Heap for each machine, including its tasks and their jobs. */
    const val HEAP_BYTES_PER_MACHINE = 14L * 1024
}
