package mintfield.io.worker

import mintfield.core.model.Heartbeat

/**
 * Reads heartbeats and remembers each machine's last list of tasks. Most heartbeats repeat it byte by byte; then it is not parsed
 * again, and the heartbeat has the same list object, by which its receiver knows that nothing changed. Not thread-safe.
 */
class HeartbeatReader(
    /** Machines that are remembered: at least as many as can send heartbeats here. */
    maxMachines: Int,
) {
    private val cache = TaskListCache(maxMachines)

    /** The heartbeat in [bytes], which must not be changed afterwards; null if they are none (see [HeartbeatCodec.decode]). */
    fun read(bytes: ByteArray): Heartbeat? = HeartbeatCodec.decode(bytes, cache)
}
