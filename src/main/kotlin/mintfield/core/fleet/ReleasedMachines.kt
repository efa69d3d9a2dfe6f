package mintfield.core.fleet

import mintfield.core.constants.FleetConstants

/**
 * Names of machines whose release the cloud has confirmed. A late list page or heartbeat must not add such a machine again: it would be
 * taken for a booting machine and count as capacity. Names are kept by age and not by number, so that none is dropped early when thousands
 * of machines are reclaimed at once.
 */
class ReleasedMachines {
    /** Release times by machine name, in milliseconds of monotonic time, in order of release. */
    private val releasedAtMs = LinkedHashMap<String, Long>()

    /** Number of names that are kept. */
    val size: Int get() = releasedAtMs.size

    /** Whether the release of the machine [id] was confirmed within the retention period. */
    operator fun contains(id: String): Boolean = id in releasedAtMs

    /** Adds the machine [id] and drops names that are old enough that no late message can mention them. */
    fun add(
        id: String,
        nowMs: Long,
    ) {
        releasedAtMs[id] = nowMs
        val oldest = releasedAtMs.values.iterator()
        while (oldest.hasNext() && nowMs - oldest.next() > FleetConstants.RELEASED_NAMES_KEPT_MS) oldest.remove()
    }
}
