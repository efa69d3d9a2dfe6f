package mintfield.core.leadership

import mintfield.core.constants.PeerConstants
import mintfield.core.model.Settings

/**
 * The jobs of which this process has told users that they are cancelled, in the order of telling. Peers read it, so that a leader
 * that cannot read the store learns of cancellations in time. Entries are numbered from 0; the oldest are dropped.
 *
 * [incarnation] distinguishes this process from an earlier one of the same controller, whose log is lost.
 */
class CancellationLog(
    private val incarnation: Long,
    private val size: Size = Size(PeerConstants.MIN_CANCELLATIONS_KEPT, PeerConstants.MIN_CANCELLATIONS_PER_PAGE),
) {
    /** How many entries are [kept], and how many of them go into one page at the most. */
    data class Size(
        val kept: Int,
        val page: Int,
    ) {
        /** Computes sizes. */
        companion object {
            /** The size for a store with the limits in [settings]: each cancellation is a change of the store, so that no more can come. */
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

    /** Number of the oldest entry that is kept. */
    private var first = 0L

    /** Adds job [id], unless the log has it. To be called before a user is told that the job is cancelled. */
    fun append(id: String) {
        if (!kept.add(id)) return
        entries.addLast(id)
        if (entries.size <= size.kept) return
        kept.remove(entries.removeFirst())
        first++
    }

    /**
     * The page for a reader that has read the log of the process [ofIncarnation] up to, and without, entry [next]. It begins with the
     * oldest entry if the reader knows another process, or if entry [next] has been dropped.
     */
    fun after(
        ofIncarnation: Long,
        next: Long,
    ): CancellationPage {
        val total = first + entries.size
        val from = if (ofIncarnation == incarnation) next.coerceIn(first, total) else first
        val ids = entries.subList((from - first).toInt(), entries.size).take(size.page)
        return CancellationPage(incarnation, from, ids, total)
    }
}
