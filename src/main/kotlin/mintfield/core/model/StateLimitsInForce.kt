package mintfield.core.model

/**
 * The limits of the store to keep to at present. The settings may name lower ones that come into force at some moment, without notice:
 * the first transaction that the store calls malformed shows that the moment has come. Such a transaction was not executed, so its writes
 * can be repeated within the lower limits, which then stay in force for as long as the process runs.
 */
class StateLimitsInForce(
    settings: Settings,
) {
    private val next = settings.nextStateLimits

    /** The limits in force, as far as is known. */
    var current = settings.stateLimits
        private set

    /** The limits for what must be accepted now and written again later, whichever limits are in force then. */
    val lowest: StateLimits get() = next?.let(current::lowest) ?: current

    /**
     * The store called a transaction malformed that was made for the limits [usedFor]. Returns whether its writes may be repeated within
     * the limits that are in force now; if not, they are wrong for another reason.
     */
    fun refused(usedFor: StateLimits): Boolean {
        if (usedFor != current) return true
        if (lowest == current) return false
        current = lowest
        return true
    }
}
