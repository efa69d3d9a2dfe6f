package mintfield.core.ownership

/** The result of a request to drain or resume a controller. */
sealed interface DrainTransition {
    /** The record may change: [members] are the drained controllers afterwards. */
    data class Allowed(
        val members: Set<String>,
    ) : DrainTransition

    /** The request is not permitted; the record stays unchanged. */
    data class Refused(
        val refusal: DrainRefusal,
    ) : DrainTransition
}
