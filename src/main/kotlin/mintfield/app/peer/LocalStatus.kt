package mintfield.app.peer

import mintfield.app.api.Progress
import mintfield.core.leadership.CancellationLogPosition
import mintfield.core.leadership.CancellationPage
import mintfield.core.ownership.ShardLoad

/** What a controller reports to its peers about itself in each status message, and where their responses go. */
interface LocalStatus {
    /** The terms that this controller leads with, by shard. The name of the only leadership, where there are no shards, is empty. */
    fun leadingTerms(): Map<String, Long>

    /** The progress of the jobs that are led here, by job id. */
    fun progressOfLedJobs(): Map<String, Progress>

    /** Whether writes of users queue up here for the state service. */
    fun isCongested(): Boolean

    /** The load of [shard]; null if it is not led here, or not known yet. */
    fun loadOf(shard: String): ShardLoad?

    /** The incarnation of [peer]'s cancellation log that was last read here, and how many of its entries were read. */
    fun cancellationsRead(peer: String): CancellationLogPosition

    /** [peer], asked at [askedAtMs], has responded with these cancellations, which it has confirmed to users. */
    fun cancellationsReceived(
        peer: String,
        page: CancellationPage,
        askedAtMs: Long,
    )
}
