package mintfield.core.fleet

import mintfield.core.constants.FleetConstants

/**
 * Names of machines whose return the cloud has confirmed. Lists and reports may come late, and one of these must not bring back
 * a machine that is gone: taken for one that boots, it would count as room to come. Names are kept by age and not by number,
 * so that a wave in which thousands are taken loses none.
 */
class ReleasedMachines {
    private val returnedAtMs = LinkedHashMap<String, Long>()

    /** How many names are kept. */
    val size: Int get() = returnedAtMs.size

    operator fun contains(id: String): Boolean = id in returnedAtMs

    /** The machine [id] is gone; forgets those whose last late message must have come. */
    fun add(
        id: String,
        nowMs: Long,
    ) {
        returnedAtMs[id] = nowMs
        val oldest = returnedAtMs.values.iterator()
        while (oldest.hasNext() && nowMs - oldest.next() > FleetConstants.RELEASED_NAMES_KEPT_MS) oldest.remove()
    }
}
