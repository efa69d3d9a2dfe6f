package mintfield.core.fleet

import mintfield.core.constants.FleetConstants

/**
 * Names of machines whose release the cloud has confirmed. A late list or heartbeat must not bring such a machine back: taken for one
 * that boots, it would count as capacity to come. Names are kept by age and not by number, so that none is lost when thousands of
 * machines are reclaimed at once.
 */
class ReleasedMachines {
    /** Steady milliseconds of the release by name, in order of release. */
    private val releasedAtMs = LinkedHashMap<String, Long>()

    /** How many names are kept. */
    val size: Int get() = releasedAtMs.size

    /** Whether the machine [id] is known to be released. */
    operator fun contains(id: String): Boolean = id in releasedAtMs

    /** Adds the machine [id] and drops the names of those of which no late message can come any more. */
    fun add(
        id: String,
        nowMs: Long,
    ) {
        releasedAtMs[id] = nowMs
        val oldest = releasedAtMs.values.iterator()
        while (oldest.hasNext() && nowMs - oldest.next() > FleetConstants.RELEASED_NAMES_KEPT_MS) oldest.remove()
    }
}
