package mintfield.core.fleet

import mintfield.core.model.JobSpec
import mintfield.core.model.TaskState
import mintfield.core.model.TaskStatus

/** A task on a machine of this leader whose job another shard's leader schedules: it was started there before the machine changed its owner. */
class ForeignTask(
    val spec: JobSpec,
    val status: TaskStatus,
) {
    /** Whether it has ended, so that it takes no room any more. */
    val ended: Boolean get() = status.state == TaskState.ENDED

    /** Whether its leader wants it to stop. */
    var stopWanted = false
        private set

    /** Steady milliseconds at which the worker was first told to stop it; 0 if it was not. */
    var stopSentAtMs = 0L
        private set

    /** Whether its leader has recorded its end, so that the worker may forget it. */
    var acknowledgeWanted = false
        private set

    /** Its leader wants it to stop. */
    fun wantStop() {
        stopWanted = true
    }

    /** Its leader has recorded its end. */
    fun wantAcknowledge() {
        acknowledgeWanted = true
    }

    /** The worker is told to stop it. */
    fun stopSent(nowMs: Long) {
        if (stopSentAtMs == 0L) stopSentAtMs = nowMs
    }

    /** Takes over what is wanted of [earlier], the same attempt by an older heartbeat. */
    internal fun carryOver(earlier: ForeignTask) {
        stopWanted = earlier.stopWanted
        acknowledgeWanted = earlier.acknowledgeWanted
        stopSentAtMs = earlier.stopSentAtMs
    }
}
