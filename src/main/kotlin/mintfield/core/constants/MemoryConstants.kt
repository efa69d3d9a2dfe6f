package mintfield.core.constants

/** Estimates of a leader's heap; see docs/capacity.md. */
object MemoryConstants {
    /** Bytes of heap that a leader needs whatever the size of its fleet. */
    const val HEAP_BASE_BYTES = 40L * 1024 * 1024

    /** Bytes of heap for each machine, with the tasks on it and the jobs that these belong to. */
    const val HEAP_BYTES_PER_MACHINE = 14L * 1024
}
