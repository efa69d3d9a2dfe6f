package mintfield.core.leadership

/**
 * The moment up to which a controller knows of every cancellation that any user has been told of: a low watermark over the store and
 * all peers.
 *
 * The controller's view of the store shows all cancellations up to the sending of the last read that was answered. Beyond that only the
 * peers can tell. Users are told by controllers alone, so nothing is missing once each configured peer, still the same process as at the time
 * of that read, has handed over its whole [CancellationLog]. A peer that is silent, cut off or newly started proves nothing, and the
 * watermark stands still.
 *
 * All times are in milliseconds of this controller's steady clock. An answer of a peer counts for the moment at which the peer was asked,
 * as the answer may have been delayed on the way.
 */
class CancellationWatermark(
    peers: Collection<String>,
) {
    /** What was read of the log of one process of a peer. */
    private class PeerLog(
        val incarnation: Long,
        /** When an answer of the process first arrived: it has run since before that. */
        val firstContactMs: Long,
        /** Number of the first entry that was not read. */
        var next: Long,
        /** The log has been read completely as of this moment. */
        var completeToMs: Long,
    )

    private val peerLogs = peers.associateWith<String, PeerLog?> { null }.toMutableMap()
    private var viewToMs = NEVER

    /** How far the log of [peer] was read. */
    fun progressOf(peer: String): CancellationLogPosition =
        peerLogs[peer]?.let { CancellationLogPosition(it.incarnation, it.next) } ?: CancellationLogPosition.NONE

    /** The view of the jobs is as the store showed them to a read that was sent at [sentAtMs]. */
    fun viewed(sentAtMs: Long) {
        viewToMs = maxOf(viewToMs, sentAtMs)
    }

    /** [peer], asked at [askedAtMs], has answered with [page] of its log, which arrived at [nowMs]. */
    fun answered(
        peer: String,
        page: CancellationPage,
        askedAtMs: Long,
        nowMs: Long,
    ) {
        if (peer !in peerLogs) return
        val known = peerLogs[peer]
        // With another process, or after entries that were dropped unread, it is not known here what came before.
        val isNew = known == null || known.incarnation != page.incarnation || page.from > known.next
        val log = if (isNew) PeerLog(page.incarnation, nowMs, page.from, NEVER) else known
        peerLogs[peer] = log
        log.next = maxOf(log.next, page.from + page.ids.size)
        if (log.next >= page.total) log.completeToMs = maxOf(log.completeToMs, askedAtMs)
    }

    /** All cancellations that users were told of before this moment are known here. [NEVER] if that is known of no moment. */
    fun upToMs(): Long {
        // A controller without peers is the only one that tells users, and what an earlier process told is in the store.
        if (peerLogs.isEmpty()) return if (viewToMs == NEVER) NEVER else ALWAYS
        return maxOf(viewToMs, peerLogs.values.minOf(::completeToMs))
    }

    private fun completeToMs(log: PeerLog?): Long = if (log != null && log.firstContactMs <= viewToMs) log.completeToMs else NEVER

    /** The ends of the range of moments. Differences with any time of the clock do not overflow. */
    companion object {
        /** Before all times of the clock. */
        const val NEVER = Long.MIN_VALUE / 4

        /** After all times of the clock. */
        const val ALWAYS = Long.MAX_VALUE / 4
    }
}
