package mintfield.core.ownership

/** Decides which unowned machines a shard claims. */
fun interface ClaimPolicy {
    /** Whether to claim [machine]. [abandoned] is true once the shard that should claim it has not done so within the claim timeout. */
    fun shouldClaim(
        machine: String,
        abandoned: Boolean,
    ): Boolean
}
