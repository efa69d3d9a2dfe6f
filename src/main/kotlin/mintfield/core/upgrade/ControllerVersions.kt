package mintfield.core.upgrade

/** What a controller can do that an earlier version could not; it rises with each change that all controllers must have. */
object Generation {
    /** It knows nothing of what came after the first released records. */
    const val FIRST = 1

    /** It knows of jobs that depend on others. */
    const val DEPENDENCIES = 2

    /** That of this program. */
    const val CURRENT = DEPENDENCIES
}

/**
 * Which generation each controller of the settings runs. Behaviour that an earlier generation would misread stays off until all
 * have been seen to have it.
 *
 * Two things are known of a controller: the generation that it has recorded in the store, which stays when it ends, and
 * the one in its last note, which tells of an earlier program that was put in place of a later one.
 */
class ControllerVersions(
    private val peers: Collection<String>,
) {
    private val recorded = HashMap<String, Int>()
    private val announced = HashMap<String, Int>()

    /** [member] has recorded [generation]. */
    fun recorded(
        member: String,
        generation: Int,
    ) {
        recorded[member] = generation
    }

    /** A note of [member] names [generation]. */
    fun announced(
        member: String,
        generation: Int,
    ) {
        announced[member] = generation
    }

    /** The peers that are not known to run [generation] or a later one. */
    fun lacking(generation: Int): List<String> = peers.filter { (recorded[it] ?: Generation.FIRST) < generation || (announced[it] ?: generation) < generation }
}
