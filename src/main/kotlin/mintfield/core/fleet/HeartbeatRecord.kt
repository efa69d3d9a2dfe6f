package mintfield.core.fleet

import mintfield.core.constants.TimeUnits
import mintfield.core.model.Heartbeat

/**
 * State derived from the heartbeats of one machine. Heartbeats are ordered by the worker's incarnation and then by their sequence number
 * within it, so that a late copy is not mistaken for a newer one. Times are in milliseconds of monotonic time.
 */
class HeartbeatRecord {
    /** The worker's incarnation; 0 before its first heartbeat. */
    var incarnation = 0L
        private set

    /** Sequence number of the newest heartbeat within [incarnation]. */
    var sequence = 0L
        private set

    /** The highest term that the worker has reported seeing. */
    var termSeen = 0L
        private set

    /** The newest heartbeat; null before the first, and after the machine has changed its owner. */
    var latest: Heartbeat? = null
        private set

    /** Network address at which the worker accepts direct calls; null if none is known. */
    var address: String? = null
        private set

    /** Time of the newest heartbeat, whether unprompted or in the response to a direct call. */
    var lastContactAtMs = Machine.NEVER
        private set

    /** Time of the newest unprompted heartbeat. Only an unprompted heartbeat gets a response, which renews the worker's lease. */
    var lastUnpromptedAtMs = Machine.NEVER
        private set

    /** Time at which the cloud will reclaim the machine; null without a termination notice. */
    var terminationAtMs: Long? = null
        private set

    /** Whether [heartbeat] is newer than all recorded ones. */
    fun isSucceededBy(heartbeat: Heartbeat): Boolean =
        heartbeat.incarnation > incarnation || (heartbeat.incarnation == incarnation && heartbeat.sequence > sequence)

    /** Records that the worker has started incarnation [next], whose sequence numbers start anew. */
    fun startIncarnation(next: Long) {
        incarnation = next
        sequence = 0
    }

    /** Records [heartbeat]. Requires that [isSucceededBy] is true for it and that its incarnation has been started. */
    fun record(
        heartbeat: Heartbeat,
        nowMs: Long,
    ) {
        sequence = heartbeat.sequence
        termSeen = maxOf(termSeen, heartbeat.termSeen)
        address = heartbeat.address
        lastContactAtMs = nowMs
        latest = heartbeat
        terminationAtMs = heartbeat.terminationNoticeS?.let { nowMs + (it * TimeUnits.MS_PER_SECOND).toLong() }
    }

    /** Records the time of a heartbeat that did not come in the response to a direct call. */
    fun recordUnprompted(nowMs: Long) {
        lastUnpromptedAtMs = nowMs
    }

    /** Records that the worker was in contact with the leader at [nowMs]. */
    fun recordContact(nowMs: Long) {
        lastContactAtMs = nowMs
    }

    /** Discards the newest heartbeat, which later commands of a former owner may have made obsolete. */
    fun discardLatest() {
        latest = null
    }
}
