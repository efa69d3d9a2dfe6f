package mintfield.io.store

/** A write of one key within a transaction. */
sealed interface KeyWrite {
    /** The key that is written. */
    val key: String

    /** Sets the key to a value. Without a [lease] it stays until it is deleted, and is detached from the lease that it had. */
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
