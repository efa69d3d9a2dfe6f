package mintfield.core.ownership

/** Says which machines without an owner a shard claims. */
fun interface ClaimPolicy {
    /** Whether to claim [machine]; [abandoned]: the shard that should have claimed it has had enough time to do so. */
    fun takes(
        machine: String,
        abandoned: Boolean,
    ): Boolean
}
