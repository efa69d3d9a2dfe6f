package mintfield.core.placement

import mintfield.core.fleet.Machine

/** How near an image is to a machine; the smaller the better. Plain numbers, as one is worked out for each machine and job of a round. */
internal object ImageRank {
    /** The image is on the machine. */
    const val PRESENT = 0

    /** Another task there waits for it. */
    const val FETCHING = 1

    /** It is neither. */
    const val ABSENT = 2

    /** The rank of [image] on [machine]. */
    fun of(
        machine: Machine,
        image: String,
    ): Int =
        when {
            machine.images.has(image) -> PRESENT
            machine.images.isNeeded(image) -> FETCHING
            else -> ABSENT
        }
}
