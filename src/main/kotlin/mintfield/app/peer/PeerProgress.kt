package mintfield.app.peer

import mintfield.app.api.Progress
import mintfield.core.constants.PeerConstants
import mintfield.io.peer.JobProgress

/**
 * Which jobs' progress the next note tells. A note has room for so many; if there are more, each note goes on where the one before
 * ended, so that every job is told of in turn.
 */
class ProgressPager(
    private val perNote: Int = PeerConstants.PROGRESS_PER_STATUS,
) {
    private var position = 0

    /** The part of [progress] for the next note. */
    fun next(progress: Map<String, Progress>): List<JobProgress> {
        if (position >= progress.size || progress.size <= perNote) position = 0
        val page =
            progress.entries
                .asSequence()
                .drop(position)
                .take(perNote)
                .map { (id, it) -> JobProgress(id, it.done, it.running) }
                .toList()
        position += page.size
        return page
    }
}

/** What the notes of one leading peer have told of the progress of its jobs. */
class PeerProgress {
    private class Observed(
        val progress: Progress,
        val atMs: Long,
    )

    private var jobs = LinkedHashMap<String, Observed>()

    /** Takes in the [page] of a note of a leader that has [total] jobs. */
    fun take(
        page: List<JobProgress>,
        total: Int,
        nowMs: Long,
    ) {
        if (page.size >= total) jobs = LinkedHashMap(page.size * 2)
        for (job in page) {
            jobs.remove(job.id)
            jobs[job.id] = Observed(Progress(job.done, job.running), nowMs)
        }
        val oldest = jobs.values.iterator()
        while (oldest.hasNext() && nowMs - oldest.next().atMs > PeerConstants.PROGRESS_TIMEOUT_MS) oldest.remove()
    }

    operator fun get(id: String): Progress? = jobs[id]?.progress
}
