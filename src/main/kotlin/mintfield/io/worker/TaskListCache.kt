package mintfield.io.worker

import mintfield.core.model.TaskStatus
import java.util.Arrays

/** LRU cache of the last task list of each machine, with the bytes from which the list was decoded. */
internal class TaskListCache(
    private val maxMachines: Int,
) {
    private class CachedTasks(
        val body: ByteArray,
        val from: Int,
        val tasks: List<TaskStatus>,
    )

    private val byMachine =
        object : LinkedHashMap<String, CachedTasks>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, CachedTasks>) = size > maxMachines
        }

    /** The cached tasks of [machine] if the bytes of [body] from [from] on equal those from which they were decoded; null otherwise. */
    fun find(
        machine: String?,
        body: ByteArray,
        from: Int,
    ): List<TaskStatus>? {
        val cached = byMachine[machine ?: return null] ?: return null
        val same = Arrays.equals(body, from, body.size, cached.body, cached.from, cached.body.size)
        return if (same) cached.tasks else null
    }

    /** Caches the [tasks] of [machine]. The bytes of [body] from [from] to its end must hold these tasks and no further field. */
    fun store(
        machine: String?,
        body: ByteArray,
        from: Int,
        tasks: List<TaskStatus>,
    ) {
        if (machine != null) byMachine[machine] = CachedTasks(body, from, tasks)
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
