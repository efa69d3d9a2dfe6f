package mintfield.core.leadership

import mintfield.core.constants.PeerConstants
import mintfield.core.model.Settings

/**
 * Log of the jobs whose cancellation this process has confirmed to users, in the order of confirmation. Peers read it, so that a
 * leader without access to the store learns of cancellations in time. Entries are numbered from 0; the oldest are dropped.
 *
 * [incarnation] distinguishes this process from earlier processes of the same controller, whose logs are lost.
 */
class CancellationLog(
    private val incarnation: Long,
    private val size: Size = Size(PeerConstants.MIN_CANCELLATIONS_KEPT, PeerConstants.MIN_CANCELLATIONS_PER_PAGE),
) {
    /** Maximum numbers of entries that are [kept] and that fit into one [page]. */
    data class Size(
        val kept: Int,
        val page: Int,
    ) {
        /** Derives sizes from the settings. */
        companion object {
            /** The size for a store with the limits in [settings]. Each cancellation is a write, so the write limit bounds their rate. */
            fun of(settings: Settings): Size {
                val perCancellationTime = settings.stateWriteRps * settings.cancelS
                return Size(
                    kept = maxOf(PeerConstants.MIN_CANCELLATIONS_KEPT, (perCancellationTime * PeerConstants.CANCELLATIONS_KEPT_FACTOR).toInt()),
                    page = maxOf(PeerConstants.MIN_CANCELLATIONS_PER_PAGE, (settings.stateWriteRps * PeerConstants.CANCELLATIONS_PER_PAGE_S).toInt()),
                )
            }
        }
    }

    private val entries = ArrayDeque<String>()
    private val kept = HashSet<String>()

    /** Number of the oldest kept entry. */
    private var first = 0L

    /** Appends job [id]; false if it is already kept. Must be called before the cancellation is confirmed to the user. */
    fun append(id: String): Boolean {
        if (!kept.add(id)) return false
        entries.addLast(id)
        if (entries.size > size.kept) {
            kept.remove(entries.removeFirst())
            first++
        }
        return true
    }

    /**
     * Returns the page that starts with entry [next] of the log of process [ofIncarnation]. It starts with the oldest kept entry if
     * [ofIncarnation] is another process, or if entry [next] has been dropped.
     */
    fun pageFrom(
        ofIncarnation: Long,
        next: Long,
    ): CancellationPage {
        val total = first + entries.size
        val from = if (ofIncarnation == incarnation) next.coerceIn(first, total) else first
        val ids = entries.subList((from - first).toInt(), entries.size).take(size.page)
        return CancellationPage(incarnation, from, ids, total)
    }
}
