package mintfield.core.model

/**
 * Tracks which limits of the store are in force. The settings may name lower limits that come into force at an unannounced time; the
 * first transaction that the store rejects as malformed shows that they have. The rejected transaction was not executed, so its writes
 * can be repeated within the lower limits, which then stay in force as long as the process runs.
 */
class StateLimitsInForce(
    settings: Settings,
) {
    private val next = settings.nextStateLimits

    /** The limits in force, as far as they are known. */
    var current = settings.stateLimits
        private set

    /** The limits for data that is accepted now and must still fit when it is written again later, under either set of limits. */
    val lowest: StateLimits get() = next?.let(current::lowest) ?: current

    /**
     * Records that the store rejected as malformed a transaction that was built for the limits [usedFor]. Returns whether its writes may be
     * repeated within the limits now in force; if not, they are malformed for another reason.
     */
    fun recordMalformed(usedFor: StateLimits): Boolean {
        if (usedFor != current) return true
        if (lowest == current) return false
        current = lowest
        return true
    }
}
