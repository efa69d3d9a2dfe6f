package mintfield.core.fleet

import mintfield.core.model.JobSpec
import mintfield.core.model.TaskState
import mintfield.core.model.TaskStatus

/** A task on a machine of this leader whose job another shard's leader schedules. It was started before the machine changed owner. */
class ForeignTask(
    val spec: JobSpec,
    val status: TaskStatus,
) {
    /** Whether the task has ended and no longer occupies capacity. */
    val ended: Boolean get() = status.state == TaskState.ENDED

    /** Whether the leader of its job has requested that the task stop. */
    var stopRequested = false
        private set

    /** Monotonic time in milliseconds at which the first stop command was sent to the worker; 0 if none was. */
    var stopSentAtMs = 0L
        private set

    /** Whether the leader of its job has recorded its end, so that the worker may discard it. */
    var acknowledgeRequested = false
        private set

    /** Requests a stop on behalf of the leader of its job. */
    fun requestStop() {
        stopRequested = true
    }

    /** Requests an acknowledgement to the worker: the leader of its job has recorded the end of the task. */
    fun requestAcknowledge() {
        acknowledgeRequested = true
    }

    /** Records that a stop command is sent to the worker; only the time of the first one is kept. */
    fun stopSent(nowMs: Long) {
        if (stopSentAtMs == 0L) stopSentAtMs = nowMs
    }

    /** Copies the requests from [earlier], the same attempt as seen in an older heartbeat. */
    internal fun copyRequestsFrom(earlier: ForeignTask) {
        stopRequested = earlier.stopRequested
        acknowledgeRequested = earlier.acknowledgeRequested
        stopSentAtMs = earlier.stopSentAtMs
    }
}
