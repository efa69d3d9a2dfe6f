package mintfield.io.store

/** A condition of a transaction: [key] still has [revision]. Revision 0 means that the key does not exist. */
class Precondition(
    val key: String,
    val revision: Long,
)
