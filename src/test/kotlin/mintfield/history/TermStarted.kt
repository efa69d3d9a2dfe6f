package mintfield.history

/** The start of a term of [shard]: its leader key was written at [revision], which is the term. */
data class TermStarted(
    val shard: String,
    val revision: Long,
)
