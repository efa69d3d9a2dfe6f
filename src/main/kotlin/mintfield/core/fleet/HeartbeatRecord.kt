package mintfield.core.fleet

import mintfield.core.constants.TimeUnits
import mintfield.core.model.Heartbeat

/**
 * What the heartbeats of one machine have shown so far. Heartbeats are ordered by the worker's incarnation and then by their sequence
 * number within it, so that a late copy is not taken for a newer one. All times are steady milliseconds.
 */
class HeartbeatRecord {
    /** The worker's incarnation; 0 before its first heartbeat. */
    var incarnation = 0L
        private set

    /** Sequence number of the newest heartbeat within [incarnation]. */
    var sequence = 0L
        private set

    /** The highest term that the worker has seen, by its own account. */
    var termSeen = 0L
        private set

    /** The newest heartbeat; null before the first, and after the machine has changed its owner. */
    var latest: Heartbeat? = null
        private set

    /** Where the worker takes direct commands. */
    var address: String? = null
        private set

    /** When the newest heartbeat came, be it on its own or in the answer to a direct command. */
    var lastContactAtMs = Machine.NEVER
        private set

    /** When the newest heartbeat came on its own: only such a one is answered, which renews the worker's lease. */
    var lastUnpromptedAtMs = Machine.NEVER
        private set

    /** When the cloud will reclaim the machine, if it has given notice. */
    var terminationAtMs: Long? = null
        private set

    /** Whether [heartbeat] is newer than all that were recorded. */
    fun isSucceededBy(heartbeat: Heartbeat): Boolean =
        heartbeat.incarnation > incarnation || (heartbeat.incarnation == incarnation && heartbeat.sequence > sequence)

    /** The worker has started incarnation [next]: its sequence numbers start anew. */
    fun startIncarnation(next: Long) {
        incarnation = next
        sequence = 0
    }

    /** Records [heartbeat], which [isSucceededBy] has accepted and whose incarnation has been started. */
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

    /** A heartbeat came that was not an answer to a direct command. */
    fun recordUnprompted(nowMs: Long) {
        lastUnpromptedAtMs = nowMs
    }

    /** The worker has shown a sign of life at [nowMs]. */
    fun recordContact(nowMs: Long) {
        lastContactAtMs = nowMs
    }

    /** Discards the newest heartbeat, which a former owner's commands may have overtaken. */
    fun discardLatest() {
        latest = null
    }
}
