package mintfield.core.placement

import mintfield.core.fleet.Machine

/** Availability of an image on a machine; lower is better. Ranks are plain integers, as a round computes one for each machine and job. */
internal object ImageRank {
    /** The image is on the machine. */
    const val PRESENT = 0

    /** Another task on the machine waits for the image, which is being fetched. */
    const val FETCHING = 1

    /** The image is not on the machine, and no task there waits for it. */
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
