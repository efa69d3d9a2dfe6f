package mintfield.core.leadership

/**
 * Passes the cancellations that controllers confirm to users on to everyone that must know of them: those that this process confirms to
 * its leaders at once and to its peers by [log], those that peers confirm to its leaders.
 *
 * [watermark] is a promise to the leaders in this process that they know every cancellation confirmed before it, so a cancellation
 * must reach them before it is confirmed, or before the watermark passes it. Not thread-safe.
 */
class ConfirmedCancellations(
    /** The cancellations that this process has confirmed, for its peers to read. */
    val log: CancellationLog,
    /** The time up to which the leaders in this process know all cancellations. */
    val watermark: CancellationWatermark,
    /** Notifies the leaders in this process that the cancellation of the job with this id is or is about to be confirmed. */
    private val notifyLeaders: (String) -> Unit,
) {
    /**
     * Handles a cancellation of job [id] that this process is about to confirm to a user. Returns false if it has done so recently. A leader
     * elected since then has read the cancellation from the store.
     */
    fun confirmedHere(id: String): Boolean {
        if (!log.append(id)) return false
        notifyLeaders(id)
        return true
    }

    /** Handles [page] of the log of [peer], requested at [requestedAtMs] and received at [nowMs], in milliseconds of monotonic time. */
    fun confirmedByPeer(
        peer: String,
        page: CancellationPage,
        requestedAtMs: Long,
        nowMs: Long,
    ) {
        page.ids.forEach(notifyLeaders)
        watermark.pageReceived(peer, page, requestedAtMs, nowMs)
    }
}
