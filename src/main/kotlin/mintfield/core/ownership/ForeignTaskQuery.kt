package mintfield.core.ownership

/** A query to the owner of [machine] about tasks on that machine that belong to jobs of the querying shard. */
data class ForeignTaskQuery(
    val machine: String,
    val tasks: List<ForeignTaskRef>,
)
