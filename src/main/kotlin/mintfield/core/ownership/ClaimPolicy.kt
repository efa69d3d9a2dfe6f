package mintfield.core.ownership

import com.google.common.hash.Hashing

/** Which machines without an owner a share takes. */
fun interface ClaimPolicy {
    /** Whether [machine] is to be taken; [abandoned]: whoever should have taken it has had time enough. */
    fun takes(
        machine: String,
        abandoned: Boolean,
    ): Boolean
}

/**
 * Divides machines without an owner by the weights of the shares (weighted rendezvous hashing): all leaders come to the same answer
 * without a word, and a machine that is listed again falls to the same share.
 */
class WeightedClaims(
    private val shard: String,
    private val all: List<ShardSettings>,
    private val isLive: (String) -> Boolean,
) : ClaimPolicy {
    override fun takes(
        machine: String,
        abandoned: Boolean,
    ): Boolean {
        val chosen = all.maxBy { score(machine, it) }.name
        if (chosen == shard) return true
        return abandoned && !isLive(chosen) && all.first { it.name == shard || isLive(it.name) }.name == shard
    }

    private fun score(
        machine: String,
        candidate: ShardSettings,
    ): Double {
        val hash = Hashing.murmur3_128().hashUnencodedChars("$machine ${candidate.name}").asLong()
        // Uniform between 0 and 1, without the ends.
        val uniform = ((hash ushr SHIFT) + 0.5) / (1L shl MANTISSA_BITS)
        return -candidate.weight / Math.log(uniform)
    }

    private companion object {
        const val MANTISSA_BITS = 52
        const val SHIFT = 64 - MANTISSA_BITS
    }
}
