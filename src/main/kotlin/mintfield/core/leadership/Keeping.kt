package mintfield.core.leadership

import mintfield.core.Tuning
import mintfield.core.model.Settings

/**
 * For how long a leader past its lease may go on renewing workers. In an outage that hits everyone it may do so to the end,
 * since nobody can cancel anything meanwhile. A leader that may be cut off alone does not hear of cancellations: what it
 * renews must have lost its lease before a task cancelled right after the cut counts as running for too long.
 */
class Keeping(
    settings: Settings,
) {
    /** Milliseconds from the last contact with the state service to the last renewal of a worker. */
    private val longestMs = ((settings.cancelS - settings.leaseS * (1 + Tuning.CLOCK_DRIFT)) * MS).toLong() - Tuning.KEEPING_MARGIN_MS

    /**
     * Whether a worker may be renewed [sinceContactMs] after the last renewal of the leader's own lease was sent.
     * [cancelledHere]: it holds a task that is to be stopped, which only its next lease or a halt can do.
     */
    fun mayRenew(
        sinceContactMs: Long,
        maybeAlone: Boolean,
        cancelledHere: Boolean,
    ): Boolean = !maybeAlone || (sinceContactMs < longestMs && !cancelledHere)

    private companion object {
        const val MS = 1000.0
    }
}
