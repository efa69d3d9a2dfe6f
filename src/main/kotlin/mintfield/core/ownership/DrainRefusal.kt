package mintfield.core.ownership

/** The reason why a request to drain or resume a controller is refused; [reason] is printed for operators. */
enum class DrainRefusal(
    val reason: String,
) {
    UNREADABLE("the record of drained controllers cannot be read"),
    UNKNOWN_CONTROLLER("unknown controller"),
    ALREADY_DRAINED("it is drained already"),
    NOT_DRAINED("it is not drained"),
    LAST_CONTROLLER("no other controller would be left"),
}
