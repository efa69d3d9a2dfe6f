package mintfield.core

/** A record that a leader creates under a key that is never used again, and later deletes. */
sealed interface LeaderRecord {
    /** The round record [key]. */
    data class Round(
        val key: String,
    ) : LeaderRecord

    /** The intent to scale out with [idempotencyKey]. */
    data class Intent(
        val idempotencyKey: String,
    ) : LeaderRecord

    /** The zone fence [key]. */
    data class Fence(
        val key: String,
    ) : LeaderRecord
}
