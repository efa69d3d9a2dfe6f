package mintfield.app.peer

import mintfield.app.api.Progress
import mintfield.core.constants.PeerConstants
import mintfield.io.peer.JobProgress

/**
 * Pages through the progress of all jobs for the status messages to one peer. A message has room for [pageSize] jobs; with more of
 * them each message continues where the one before ended, so that every job is included in turn.
 */
class ProgressPager(
    private val pageSize: Int = PeerConstants.PROGRESS_PER_STATUS,
) {
    private var position = 0

    /** The part of [progress] that the next message contains. */
    fun next(progress: Map<String, Progress>): List<JobProgress> {
        if (position >= progress.size || progress.size <= pageSize) position = 0
        val page =
            progress.entries
                .asSequence()
                .drop(position)
                .take(pageSize)
                .map { (id, it) -> JobProgress(id, it.done, it.running) }
                .toList()
        position += page.size
        return page
    }
}
