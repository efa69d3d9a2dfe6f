package mintfield.core.ownership

/** A query to the owner of [machine] about tasks there that are foreign to it. */
data class ForeignTaskQuery(
    val machine: String,
    val tasks: List<ForeignTaskRef>,
)
