package mintfield.core.fleet

/**
 * A record in the store which guarantees that no leader has responded to heartbeats of [machines] since [sinceWallMs] (wall-clock time in
 * milliseconds) and that none will while the record exists. It proves to a successor, which has received no heartbeats of the machines,
 * that their leases have expired.
 */
class ZoneFence(
    val key: String,
    val machines: List<String>,
    val sinceWallMs: Long,
)
