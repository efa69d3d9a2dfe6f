package mintfield.history

/** The ways in which a history of assignments and accepted commands can violate exclusive ownership of a machine. */
enum class OwnershipAnomaly {
    /** The owner of a machine changed without an offer to the new owner, so that both may have acted for the machine at the same time. */
    TWO_OWNERS,

    /** A worker accepted a token that no leader can have issued. */
    UNKNOWN_TOKEN,

    /** A worker accepted a command of a former owner after one of a later owner. */
    FORMER_OWNER,
}
