package mintfield.core.upgrade

/**
 * The generations that the other controllers run. What a controller of an earlier generation would misread stays off until all are
 * known to have the generation that it needs.
 *
 * Two sources count, and both must allow it: the generation that a controller has recorded in the store, which outlives its process, and
 * the one in its last peer status, which reveals that an earlier program was installed in place of a later one.
 */
class ControllerVersions(
    /** The names of the other controllers. */
    private val peers: Collection<String>,
) {
    private val recorded = HashMap<String, Int>()
    private val announced = HashMap<String, Int>()

    /** The store holds [generation] for the controller [member]. */
    fun recorded(
        member: String,
        generation: Int,
    ) {
        recorded[member] = generation
    }

    /** A peer status of the controller [member] names [generation]. */
    fun announced(
        member: String,
        generation: Int,
    ) {
        announced[member] = generation
    }

    /** The peers that are not known to run [generation] or a later one. */
    fun lacking(generation: Int): List<String> = peers.filter { isRecordedBefore(it, generation) || isAnnouncedBefore(it, generation) }

    private fun isRecordedBefore(
        peer: String,
        generation: Int,
    ) = (recorded[peer] ?: Generation.FIRST) < generation

    private fun isAnnouncedBefore(
        peer: String,
        generation: Int,
    ) = announced[peer]?.let { it < generation } ?: false
}
