package mintfield.io.worker

import mintfield.core.model.TaskStatus
import java.util.Arrays

/** The last list of tasks of each machine, together with the bytes that it was read from. The least recently used machines drop out. */
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

    /** The tasks last read for [machine], if all bytes of [body] from [from] on are the same as then; else null. */
    fun find(
        machine: String?,
        body: ByteArray,
        from: Int,
    ): List<TaskStatus>? {
        val cached = byMachine[machine ?: return null] ?: return null
        val same = Arrays.equals(body, from, body.size, cached.body, cached.from, cached.body.size)
        return if (same) cached.tasks else null
    }

    /** Keeps the [tasks] of [machine], which the bytes of [body] from [from] to its end hold and nothing else. */
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
