package mintfield.core.leadership

import mintfield.core.constants.PeerConstants
import mintfield.core.model.Settings

/** A stretch of a [CancellationLog]: entries from number [from] on, of [total] in all. */
data class CancellationPage(
    val incarnation: Long,
    val from: Long,
    val ids: List<String>,
    val total: Long,
)

/**
 * The jobs that this process has told users are cancelled, in the order of telling. Peers read it: one that leads and that
 * the store refuses learns here of what it would otherwise find out too late. [incarnation] tells this process from
 * an earlier one of the same member, whose log is lost.
 */
class CancellationLog(
    private val incarnation: Long,
    private val size: Size = Size(PeerConstants.MIN_CANCELLATIONS_KEPT, PeerConstants.MIN_CANCELLATIONS_PER_PAGE),
) {
    /** How many entries are [kept], and how many of them go into one page. */
    data class Size(
        val kept: Int,
        val page: Int,
    ) {
        companion object {
            /** Each cancellation is a change of the store, so there are no more of them than it permits. */
            fun of(settings: Settings) =
                Size(
                    kept =
                        maxOf(
                            PeerConstants.MIN_CANCELLATIONS_KEPT,
                            (settings.stateWriteRps * settings.cancelS * PeerConstants.CANCELLATIONS_KEPT_FACTOR).toInt(),
                        ),
                    page = maxOf(PeerConstants.MIN_CANCELLATIONS_PER_PAGE, (settings.stateWriteRps * PeerConstants.CANCELLATIONS_PER_PAGE_S).toInt()),
                )
        }
    }

    private val entries = ArrayDeque<String>()
    private val kept = HashSet<String>()
    private var first = 0L

    /** To be called before a user is told that [id] is cancelled. */
    fun append(id: String) {
        if (!kept.add(id)) return
        entries.addLast(id)
        if (entries.size <= size.kept) return
        kept.remove(entries.removeFirst())
        first++
    }

    /** What [reader] lacks, who has read up to number [next] of the log of [ofIncarnation]. */
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
