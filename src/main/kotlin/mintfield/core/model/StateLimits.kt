package mintfield.core.model

/** The limits of the store that depend on the settings. */
data class StateLimits(
    /** Maximum number of puts and deletes per second, of all controllers together. */
    val writeRps: Double,
    /** The largest value, in KiB. */
    val valueKb: Double,
    /** Maximum number of puts and deletes in a transaction. */
    val txnOps: Int,
) {
    /** The largest value, in bytes. */
    val valueBytes: Int get() = (valueKb * BYTES_PER_KIB).toInt()

    /** The lower value of each limit, of these limits and [other]. */
    fun lowest(other: StateLimits) =
        StateLimits(
            writeRps = minOf(writeRps, other.writeRps),
            valueKb = minOf(valueKb, other.valueKb),
            txnOps = minOf(txnOps, other.txnOps),
        )

    private companion object {
        const val BYTES_PER_KIB = 1024
    }
}
