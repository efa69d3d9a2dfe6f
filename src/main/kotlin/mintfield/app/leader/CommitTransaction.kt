package mintfield.app.leader

import mintfield.core.Commit
import mintfield.core.Write
import mintfield.core.constants.StoreConstants
import mintfield.core.model.StateLimits
import mintfield.core.model.StateLimitsInForce
import mintfield.io.store.KeyWrite
import mintfield.io.store.Precondition

/** A transaction of the leader with the store: as many writes of a commit, in order, as fit within the limits. */
class CommitTransaction(
    /** The writes of the commit that the transaction contains. */
    val writes: List<Write>,
    val preconditions: List<Precondition>,
    val keyWrites: List<KeyWrite>,
    /** The limits of the store that were in force when the transaction was packed. */
    val limits: StateLimits,
)

/** Packs the writes of commits into transactions, within the limits of the store. */
class CommitPacker(
    private val leaderKey: String,
    private val encoder: WriteEncoder,
    private val limits: StateLimitsInForce,
) {
    /**
     * Packs the first writes of [commit] into a transaction with a precondition on the leader key at the commit's term. The transaction
     * contains at least one write, even if that write exceeds the limits.
     */
    fun pack(commit: Commit): CommitTransaction {
        val inForce = limits.current
        val preconditions = LinkedHashMap<String, Precondition>()
        preconditions[leaderKey] = Precondition(leaderKey, commit.term)
        val keyWrites = ArrayList<KeyWrite>()
        val writes = ArrayList<Write>()
        var bytes = 0
        for (write in commit.writes) {
            val encoded = encoder.keyWrites(write)
            val size = sizeOf(encoded)
            val fits = keyWrites.size + encoded.size <= inForce.txnOps && bytes + size <= StoreConstants.MAX_TXN_BYTES
            if (keyWrites.isNotEmpty() && !fits) break
            encoder.preconditionsOf(write).forEach { preconditions[it.key] = it }
            keyWrites.addAll(encoded)
            bytes += size
            writes.add(write)
        }
        return CommitTransaction(writes, preconditions.values.toList(), keyWrites, inForce)
    }

    /** Estimates the size of [writes] in a request, in bytes, with a margin for their preconditions. */
    private fun sizeOf(writes: List<KeyWrite>): Int =
        writes.sumOf { (it as? KeyWrite.Put)?.json?.size ?: 0 } + OPERATION_OVERHEAD_BYTES * (writes.size + MAX_PRECONDITIONS_PER_WRITE)

    private companion object {
        /** Size of a write or precondition in a transaction, without its value. */
        const val OPERATION_OVERHEAD_BYTES = 110

        /** Number of preconditions assumed for each write when its size is estimated. */
        const val MAX_PRECONDITIONS_PER_WRITE = 2
    }
}
