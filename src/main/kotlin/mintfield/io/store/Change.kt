package mintfield.io.store

/** One change of a key, from the response to a watch. */
class Change(
    val key: String,
    /** The new value; null if the key was deleted. */
    val data: Map<String, Any?>?,
    /** The revision of this change. */
    val revision: Long,
)
