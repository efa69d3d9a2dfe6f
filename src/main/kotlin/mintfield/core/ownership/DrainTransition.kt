package mintfield.core.ownership

/** The answer to a request to drain a controller, or to end that. */
sealed interface DrainTransition {
    /** From then on [members] are drained. */
    data class Allowed(
        val members: Set<String>,
    ) : DrainTransition

    /** The record stays as it is. */
    data class Refused(
        val refusal: DrainRefusal,
    ) : DrainTransition
}
