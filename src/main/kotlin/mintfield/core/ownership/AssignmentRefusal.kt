package mintfield.core.ownership

/** The reason why a requested change of an assignment is refused; [reason] is printed for operators. */
enum class AssignmentRefusal(
    val reason: String,
) {
    UNKNOWN_MACHINE("unknown machine"),
    UNREADABLE("its assignment cannot be read"),
    UNKNOWN_SHARD("unknown share"),
    UNKNOWN_OWNER("its owner is no share of the settings; it is left alone"),
    ALREADY_OWNED("the target owns it already"),
    ALREADY_MOVING("it is already moving"),
    ALREADY_ASSIGNED("it is assigned already"),
    NOT_MOVING("it is not moving"),
    NOT_OWNER("another share owns it"),
    NOT_ITS_TARGET("it is offered to another share"),
    TARGET_NOT_LIVE("the target has no leader"),
    TARGET_LIVE("the target has a leader"),
    BELOW_FLOOR("its owner would fall below its floor"),
}
