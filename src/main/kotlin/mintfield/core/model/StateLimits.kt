package mintfield.core.model

/** What the store permits. */
data class StateLimits(
    /** Puts and deletes in a second, of all controllers together. */
    val writeRps: Double,
    /** KiB of a value. */
    val valueKb: Double,
    /** Puts and deletes in a transaction. */
    val txnOps: Int,
) {
    /** Bytes of a value. */
    val valueBytes: Int get() = (valueKb * BYTES_PER_KIB).toInt()

    /** The lower of each limit. */
    fun lowest(other: StateLimits) = StateLimits(minOf(writeRps, other.writeRps), minOf(valueKb, other.valueKb), minOf(txnOps, other.txnOps))

    private companion object {
        const val BYTES_PER_KIB = 1024
    }
}

/**
 * The limits to keep to. The settings may name lower ones that will hold from some moment on, without notice: the first
 * transaction that the store calls malformed shows that the moment has come. It was not executed, so what it held is
 * written again within the lower limits. They stay in force for as long as the process runs.
 */
class StateLimitsInForce(
    settings: Settings,
) {
    private val next = settings.nextStateLimits

    /** The limits that hold as far as is known. */
    var current = settings.stateLimits
        private set

    /** No value that is accepted from a user may be larger, as it has to be written again under whichever limits. */
    val lowest: StateLimits get() = next?.let(current::lowest) ?: current

    /**
     * A transaction within [usedFor] was called malformed. Whether it may be tried again, within lower limits; if not, something
     * else is wrong with it.
     */
    fun refused(usedFor: StateLimits): Boolean {
        if (usedFor != current) return true
        if (lowest == current) return false
        current = lowest
        return true
    }
}
