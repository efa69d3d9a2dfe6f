package mintfield.history

/** What a correct history of assignments and accepted commands cannot show. */
enum class OwnershipAnomaly {
    /** A machine went from one owner to another without having been offered: both may have acted for it at one moment. */
    TWO_OWNERS,

    /** A token that no leader can have. */
    UNKNOWN_TOKEN,

    /** A command of a shard that was accepted after one of a later owner. */
    FORMER_OWNER,
}
