package mintfield.core.fleet

/**
 * A record in the store by which a leader promises that it has not answered [machines] since [sinceWallMs] (time of day in milliseconds),
 * and that nobody will while the record exists. It proves to a successor, which has received none of their heartbeats, that their leases
 * have expired.
 */
class ZoneFence(
    val key: String,
    val machines: List<String>,
    val sinceWallMs: Long,
)
