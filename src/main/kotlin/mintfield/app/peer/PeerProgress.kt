package mintfield.app.peer

import mintfield.app.api.Progress
import mintfield.core.constants.PeerConstants
import mintfield.io.peer.JobProgress
import mintfield.io.peer.PeerStatus

/** The progress of the jobs that one peer leads, from its status messages. */
class PeerProgress {
    private class Observed(
        val progress: Progress,
        val atMs: Long,
    )

    private var jobs = LinkedHashMap<String, Observed>()

    /**
     * Stores the [page] of a status message. [total] is the number of jobs that the peer leads, or 0 if the page holds all of them. A page with
     * all jobs replaces the previous entries. Otherwise entries expire after [PeerConstants.PROGRESS_TIMEOUT_MS].
     */
    fun update(
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

    /** The latest progress of job [id]; null without a recent entry. */
    operator fun get(id: String): Progress? = jobs[id]?.progress
}

/** The progress of the jobs of all peers that are leaders. */
class PeerProgressTable(
    private val nowMs: () -> Long,
) {
    private val byPeer = HashMap<String, PeerProgress>()

    /** Stores the progress in the [status] of a peer that is a leader. */
    fun update(status: PeerStatus) = byPeer.getOrPut(status.member) { PeerProgress() }.update(status.progress, status.jobs, nowMs())

    /** The latest progress of job [id] at any peer; null without a recent entry. */
    operator fun get(id: String): Progress? = byPeer.values.firstNotNullOfOrNull { it[id] }
}
