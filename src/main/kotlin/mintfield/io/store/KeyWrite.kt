package mintfield.io.store

/** A write of one key within a transaction. */
sealed interface KeyWrite {
    /** The key to put or delete. */
    val key: String

    /** Sets the key to a value and attaches it to [lease]. Without a lease, the key is detached from its previous one and stays until deleted. */
    class Put(
        override val key: String,
        /** The value, a JSON object in UTF-8. */
        val json: ByteArray,
        val lease: Long? = null,
    ) : KeyWrite

    /** Deletes the key. */
    class Delete(
        override val key: String,
    ) : KeyWrite
}
