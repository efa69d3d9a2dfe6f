package mintfield.io.store

/** A precondition of a transaction: [key] has the revision [revision]. Revision 0 means that the key does not exist. */
class Precondition(
    val key: String,
    val revision: Long,
)
