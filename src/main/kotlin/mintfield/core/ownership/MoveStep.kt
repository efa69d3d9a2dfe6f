package mintfield.core.ownership

/** The steps of a move after its order, each at one controller; [label] names the span of the step. */
enum class MoveStep(
    val label: String,
) {
    /** From the order, as the owner saw it, to the release. */
    RELEASE("release"),

    /** From the release, as the target saw it, to the adoption. */
    ADOPT("adopt"),

    /** From the adoption until the worker has seen the new owner's token. */
    FIRST_HEARTBEAT("first report"),
}
