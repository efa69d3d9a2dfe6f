package mintfield.app.peer

import mintfield.app.api.Progress
import mintfield.core.leadership.CancellationLogPosition
import mintfield.core.leadership.CancellationPage
import mintfield.core.ownership.ShardLoad

/** The source of the contents of the status messages to the peers, and the receiver of the cancellations in their responses. */
interface LocalStatus {
    /** The terms of the leaders in this process, by shard name. Without sharding the name of the single leadership is the empty string. */
    fun leadingTerms(): Map<String, Long>

    /** The progress of the jobs whose leader runs in this process, by job id. */
    fun progressOfLedJobs(): Map<String, Progress>

    /** Whether users' writes to the store queue up at this controller. */
    fun isCongested(): Boolean

    /** The load of [shard]; null if its leader does not run in this process or its load is not known yet. */
    fun loadOf(shard: String): ShardLoad?

    /** The position up to which this controller has read [peer]'s cancellation log. */
    fun cancellationsRead(peer: String): CancellationLogPosition

    /** Handles a [page] of the cancellations that [peer] has confirmed to users, from its response to a status message sent at [sentAtMs]. */
    fun cancellationsReceived(
        peer: String,
        page: CancellationPage,
        sentAtMs: Long,
    )
}
