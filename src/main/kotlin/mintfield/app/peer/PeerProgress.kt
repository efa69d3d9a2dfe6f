package mintfield.app.peer

import mintfield.app.api.Progress
import mintfield.core.constants.PeerConstants
import mintfield.io.peer.JobProgress
import mintfield.io.peer.PeerStatus

/** The progress of the jobs of one leading peer, from its status messages. */
class PeerProgress {
    private class Observed(
        val progress: Progress,
        val atMs: Long,
    )

    private var jobs = LinkedHashMap<String, Observed>()

    /** Takes in the [page] of a status message; the peer has [total] jobs in all. */
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

    /** The latest progress of job [id]; null if the peer has not reported it recently. */
    operator fun get(id: String): Progress? = jobs[id]?.progress
}

/** The progress of the jobs of all leading peers. */
class PeerProgressTable(
    private val nowMs: () -> Long,
) {
    private val byPeer = HashMap<String, PeerProgress>()

    /** Takes in the [status] of a leading peer. */
    fun received(status: PeerStatus) = byPeer.getOrPut(status.member) { PeerProgress() }.take(status.progress, status.jobs, nowMs())

    /** The latest progress of job [id] at any peer; null if none has reported it recently. */
    operator fun get(id: String): Progress? = byPeer.values.firstNotNullOfOrNull { it[id] }
}
