package mintfield.core.ownership

/** The steps of a move after its order, each timed at one controller; [label] is the name of the span in the trace. */
enum class MoveStep(
    val label: String,
) {
    /** From the time the owner observes the order to the release. */
    RELEASE("release"),

    /** From the time the target observes the release to the adoption. */
    ADOPT("adopt"),

    /** From the adoption until the worker has seen the new owner's fencing token. */
    FIRST_HEARTBEAT("first report"),
}
