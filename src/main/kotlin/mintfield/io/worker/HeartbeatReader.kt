package mintfield.io.worker

import mintfield.core.model.Heartbeat

/**
 * Decodes heartbeats and caches the last task list of each machine. Most heartbeats repeat that list byte by byte; then it is not parsed
 * again, and the heartbeat has the same list object, so that the receiver can detect an unchanged list by identity. Not thread-safe.
 */
class HeartbeatReader(
    /** Capacity of the cache: at least the number of machines that can send heartbeats to this controller. */
    maxMachines: Int,
) {
    private val cache = TaskListCache(maxMachines)

    /** Decodes [bytes], which must not be modified afterwards; null if they are not a valid heartbeat (see [HeartbeatCodec.decode]). */
    fun read(bytes: ByteArray): Heartbeat? = HeartbeatCodec.decode(bytes, cache)
}
