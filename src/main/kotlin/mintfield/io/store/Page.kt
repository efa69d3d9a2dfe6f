package mintfield.io.store

/** One page of a listing, in the order of the keys. */
class Page(
    val entries: List<Entry>,
    /** Whether further entries follow the last one. */
    val hasNext: Boolean,
    /** The revision of the store at which the page was read. */
    val revision: Long,
)
