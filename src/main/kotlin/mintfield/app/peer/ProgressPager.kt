package mintfield.app.peer

import mintfield.app.api.Progress
import mintfield.core.constants.PeerConstants
import mintfield.io.peer.JobProgress

/**
 * Pages through the progress of all jobs for the status messages to one peer. A message holds up to [pageSize] jobs. With more jobs the
 * messages cycle through them: each continues where the previous one ended.
 */
class ProgressPager(
    private val pageSize: Int = PeerConstants.PROGRESS_PER_STATUS,
) {
    private var position = 0

    /** Returns the entries of [progress] for the next message and advances the position. */
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
