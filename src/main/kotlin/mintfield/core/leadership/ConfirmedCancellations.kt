package mintfield.core.leadership

/**
 * Passes on the cancellations that controllers confirm to users: those that this process confirms to its leaders and, by [log], to its
 * peers, those that peers confirm to its leaders.
 *
 * The [watermark] promises the leaders in this process that they know every cancellation confirmed before it. So one that this process
 * confirms must reach them before it reaches the user, and one that a peer confirms before the watermark passes it. Not thread-safe.
 */
class ConfirmedCancellations(
    /** The cancellations that this process has confirmed, for its peers to read. */
    val log: CancellationLog,
    /** The time up to which the leaders in this process know all cancellations. */
    val watermark: CancellationWatermark,
    /** Notifies the leaders in this process that the cancellation of the job with this id has been or is about to be confirmed. */
    private val notifyLeaders: (String) -> Unit,
) {
    /**
     * Handles a cancellation of job [id] that this process is about to confirm to a user, perhaps once more. Returns false if the log holds
     * it already.
     */
    fun confirmedHere(id: String): Boolean {
        notifyLeaders(id)
        return log.append(id)
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
