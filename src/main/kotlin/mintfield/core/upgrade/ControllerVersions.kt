package mintfield.core.upgrade

/**
 * The generations of the other controllers. A feature that earlier generations would misread stays disabled until all controllers are
 * known to run a generation that supports it.
 *
 * Two sources must agree: the generation that a controller has recorded in the store, which outlives its process, and the generation in
 * its last peer status, which reveals a downgrade to an earlier version.
 */
class ControllerVersions(
    /** The names of the other controllers. */
    private val peers: Collection<String>,
) {
    private val recorded = HashMap<String, Int>()
    private val announced = HashMap<String, Int>()

    /** Records that the store holds [generation] for the controller [member]. */
    fun recorded(
        member: String,
        generation: Int,
    ) {
        recorded[member] = generation
    }

    /** Records that a peer status of the controller [member] states [generation]. */
    fun announced(
        member: String,
        generation: Int,
    ) {
        announced[member] = generation
    }

    /** The peers not known to run [generation] or a later one. */
    fun peersBelow(generation: Int): List<String> = peers.filter { isRecordedBefore(it, generation) || isAnnouncedBefore(it, generation) }

    private fun isRecordedBefore(
        peer: String,
        generation: Int,
    ) = (recorded[peer] ?: Generation.FIRST) < generation

    private fun isAnnouncedBefore(
        peer: String,
        generation: Int,
    ) = announced[peer]?.let { it < generation } ?: false
}
