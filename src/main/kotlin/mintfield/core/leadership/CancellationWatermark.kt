package mintfield.core.leadership

/**
 * The time up to which a controller knows every cancellation confirmed to any user: a low watermark over the store and all peers.
 *
 * A successful read of the store shows all cancellations up to the time at which the read was sent. Later cancellations are known only
 * from the controllers that confirm them: from this process at once (see [ConfirmedCancellations]), from the others by their logs. Only
 * controllers confirm cancellations to users, so none is missing once each configured peer, still the same process as at the time of that
 * read, has delivered its complete [CancellationLog]. A peer that is unresponsive, partitioned or newly started does not advance the
 * watermark.
 *
 * All times are in milliseconds of this controller's monotonic clock. A peer's response counts from the time of the request, because the
 * response may have been delayed in the network.
 */
class CancellationWatermark(
    peers: Collection<String>,
) {
    /** Progress of reading the log of one process of a peer. */
    private class PeerLog(
        val incarnation: Long,
        /** Time of the first response from the process, which was running before then. */
        val firstContactMs: Long,
        /** Number of the first unread entry. */
        var next: Long,
        /** Time as of which the log has been read completely. */
        var completeToMs: Long,
    )

    private val peerLogs = peers.associateWith<String, PeerLog?> { null }.toMutableMap()
    private var storeReadToMs = NEVER

    /** The position up to which the log of [peer] has been read. */
    fun positionOf(peer: String): CancellationLogPosition =
        peerLogs[peer]?.let { CancellationLogPosition(it.incarnation, it.next) } ?: CancellationLogPosition.NONE

    /** Records that a read of the jobs, sent to the store at [sentAtMs], was successful. */
    fun storeReadCompleted(sentAtMs: Long) {
        storeReadToMs = maxOf(storeReadToMs, sentAtMs)
    }

    /** Records [page] of the log of [peer], requested at [requestedAtMs] and received at [nowMs]. */
    fun pageReceived(
        peer: String,
        page: CancellationPage,
        requestedAtMs: Long,
        nowMs: Long,
    ) {
        if (peer !in peerLogs) return
        val known = peerLogs[peer]
        // For a new process, or if entries were dropped before they were read, the earlier entries are unknown.
        val isNew = known == null || known.incarnation != page.incarnation || page.from > known.next
        val log = if (isNew) PeerLog(page.incarnation, nowMs, page.from, NEVER) else known
        peerLogs[peer] = log
        log.next = maxOf(log.next, page.from + page.ids.size)
        if (log.next >= page.total) log.completeToMs = maxOf(log.completeToMs, requestedAtMs)
    }

    /** The watermark: all cancellations confirmed to users before this time are known. [NEVER] if there is none yet, [ALWAYS] if none can be missing. */
    fun upToMs(): Long {
        // Without peers only this controller confirms cancellations, and those of its earlier processes are in the store.
        if (peerLogs.isEmpty()) return if (storeReadToMs == NEVER) NEVER else ALWAYS
        return maxOf(storeReadToMs, peerLogs.values.minOf(::completeToMs))
    }

    /** The watermark relative to [nowMs], for the leader's periodic log line. */
    fun describe(nowMs: Long): String =
        when (val upToMs = upToMs()) {
            NEVER -> "no cancellations known yet"
            ALWAYS -> "all cancellations known"
            else -> "cancellations known up to ${nowMs - upToMs} ms ago"
        }

    private fun completeToMs(log: PeerLog?): Long = if (log != null && log.firstContactMs <= storeReadToMs) log.completeToMs else NEVER

    /** The bounds of the time range. Differences between a bound and any clock time do not overflow. */
    companion object {
        /** Earlier than any clock time. */
        const val NEVER = Long.MIN_VALUE / 4

        /** Later than any clock time. */
        const val ALWAYS = Long.MAX_VALUE / 4
    }
}
