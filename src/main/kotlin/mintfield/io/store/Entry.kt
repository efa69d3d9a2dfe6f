package mintfield.io.store

/** A key of the store with its current value and revision. */
class Entry(
    val key: String,
    /** The value, a JSON object. */
    val data: Map<String, Any?>,
    /** The revision of the last change of the key. */
    val revision: Long,
    /** The lease that the key is attached to; null if it stays until it is deleted. */
    val lease: Long?,
)
