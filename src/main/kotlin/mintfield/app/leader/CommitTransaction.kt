package mintfield.app.leader

import mintfield.core.Commit
import mintfield.core.Write
import mintfield.core.constants.StoreConstants
import mintfield.core.model.StateLimits
import mintfield.core.model.StateLimitsInForce
import mintfield.io.store.KeyWrite
import mintfield.io.store.Precondition

/** One transaction of the leader with the state service: those of a commit's writes, from the first on, that it has room for. */
class CommitTransaction(
    /** The writes that are part of it. */
    val taken: List<Write>,
    val preconditions: List<Precondition>,
    val keyWrites: List<KeyWrite>,
    /** The limits of the state service that it was made for. */
    val limits: StateLimits,
)

/** Packs the writes of commits into transactions, within the limits of the state service. */
class CommitPacker(
    private val leaderKey: String,
    private val encoder: WriteEncoder,
    private val limits: StateLimitsInForce,
) {
    /** The transaction for [commit], guarded by the leader key at the commit's term. It contains one write at least. */
    fun pack(commit: Commit): CommitTransaction {
        val inForce = limits.current
        val preconditions = LinkedHashMap<String, Precondition>()
        preconditions[leaderKey] = Precondition(leaderKey, commit.term)
        val keyWrites = ArrayList<KeyWrite>()
        val taken = ArrayList<Write>()
        var bytes = 0
        for (write in commit.writes) {
            val encoded = encoder.keyWrites(write)
            val size = sizeOf(encoded)
            val fits = keyWrites.size + encoded.size <= inForce.txnOps && bytes + size <= StoreConstants.MAX_TXN_BYTES
            if (keyWrites.isNotEmpty() && !fits) break
            encoder.preconditionsOf(write).forEach { preconditions[it.key] = it }
            keyWrites.addAll(encoded)
            bytes += size
            taken.add(write)
        }
        return CommitTransaction(taken, preconditions.values.toList(), keyWrites, inForce)
    }

    /** Bytes that [writes] take in a request, with a margin for their preconditions. */
    private fun sizeOf(writes: List<KeyWrite>): Int =
        writes.sumOf { (it as? KeyWrite.Put)?.json?.size ?: 0 } + OPERATION_OVERHEAD_BYTES * (writes.size + MAX_PRECONDITIONS_PER_WRITE)

    private companion object {
        /** Bytes of a write or precondition in a transaction besides its value. */
        const val OPERATION_OVERHEAD_BYTES = 110

        /** Preconditions that are counted for each write. */
        const val MAX_PRECONDITIONS_PER_WRITE = 2
    }
}
