package mintfield.core.ownership

import com.google.common.hash.Hashing

/**
 * Divides unowned machines among the shards [all] in proportion to their weights. All leaders compute the same result without
 * communication, and the same machine always falls to the same shard. The algorithm is rendezvous hashing (Thaler and Ravishankar,
 * "Using Name-Based Mappings to Increase Hit Rates", 1998) with the weighted score `-weight / ln(hash)` (Resch, "New Hashing Algorithms
 * for Data Storage", 2015).
 */
class WeightedClaims(
    private val shard: String,
    private val all: List<ShardSettings>,
    private val isLive: (String) -> Boolean,
) : ClaimPolicy {
    override fun shouldClaim(
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
        // Uniform in the open interval (0, 1): the logarithm of 0 is not finite, and the logarithm of 1 is 0 and cannot be a divisor.
        val uniform = ((hash ushr SHIFT) + HALF_STEP) / (1L shl MANTISSA_BITS)
        return -candidate.weight / Math.log(uniform)
    }

    private companion object {
        const val MANTISSA_BITS = 52
        const val SHIFT = Long.SIZE_BITS - MANTISSA_BITS

        /** Moves each value to the middle of its interval, so that neither 0 nor 1 occurs. */
        const val HALF_STEP = 0.5
    }
}
