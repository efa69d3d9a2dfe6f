package mintfield.io.store

/** The response to a watch: all changes of keys with the watched prefix after the requested revision. */
class Changes(
    /** The revision of the store up to which the changes are complete. */
    val revision: Long,
    /** The changes, in no particular order. */
    val log: List<Change>,
    /** Whether the requested revision is too old, or too many changes followed it: the keys must be listed again. */
    val tooOld: Boolean,
) {
    /** The change with the highest revision; null if there is none. */
    fun newest(): Change? = log.maxByOrNull { it.revision }

    internal companion object {
        /** The response to a watch whose changes the store cannot deliver. */
        val TOO_OLD = Changes(revision = 0, log = emptyList(), tooOld = true)
    }
}
