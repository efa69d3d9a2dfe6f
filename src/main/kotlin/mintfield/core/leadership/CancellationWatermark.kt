package mintfield.core.leadership

/**
 * The moment up to which a controller knows of every cancellation that any user has been told of. Its own view of the jobs
 * shows all up to the sending of the last read that was answered. Beyond that only the peers can tell: users are told by
 * controllers alone, so when each configured one, of the same process as at the time of that read, has handed over all that
 * it told, nothing is missing. One that is silent, cut off or newly started proves nothing, and the moment stands still.
 *
 * All times are of this controller's steady clock. An answer of a peer speaks for the moment at which it was asked: later
 * answers may have been held up on the way.
 */
class CancellationWatermark(
    peers: Collection<String>,
) {
    private class PeerLog(
        val incarnation: Long,
        /** When an answer of this process first arrived: it ran before that. */
        val firstContactMs: Long,
        /** Entries of its log that were read. */
        var read: Long,
        var completeToMs: Long,
    )

    private val peerLogs = peers.associateWith<String, PeerLog?> { null }.toMutableMap()
    private var viewToMs = NEVER

    /** The process of [peer] that was last heard, and how many entries of its log were read. */
    fun progressOf(peer: String): Pair<Long, Long> = peerLogs[peer]?.let { it.incarnation to it.read } ?: (0L to 0L)

    /** The view of the jobs was read from the store; the read was sent at [sentAtMs]. */
    fun viewed(sentAtMs: Long) {
        viewToMs = maxOf(viewToMs, sentAtMs)
    }

    /** A [peer], asked at [askedAtMs], has answered with [page] of its log, which arrived at [nowMs]. */
    fun answered(
        peer: String,
        page: CancellationPage,
        askedAtMs: Long,
        nowMs: Long,
    ) {
        if (peer !in peerLogs) return
        val known = peerLogs[peer]
        // Another process, or entries that were dropped before they were read: what came before is not known from here.
        val fresh = known == null || known.incarnation != page.incarnation || page.from > known.read
        val s = if (fresh) PeerLog(page.incarnation, nowMs, page.from, NEVER) else known
        peerLogs[peer] = s
        s.read = maxOf(s.read, page.from + page.ids.size)
        if (s.read >= page.total) s.completeToMs = maxOf(s.completeToMs, askedAtMs)
    }

    /** All cancellations told before this moment are known here. */
    fun upToMs(): Long {
        // Alone, with what an earlier process told read from the store, it is the only one that tells anybody.
        if (peerLogs.isEmpty()) return if (viewToMs == NEVER) NEVER else ALWAYS
        val byPeers = peerLogs.values.minOf { s -> if (s != null && s.firstContactMs <= viewToMs) s.completeToMs else NEVER }
        return maxOf(viewToMs, byPeers)
    }

    companion object {
        const val NEVER = Long.MIN_VALUE / 4
        const val ALWAYS = Long.MAX_VALUE / 4
    }
}
