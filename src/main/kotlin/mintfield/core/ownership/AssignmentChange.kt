package mintfield.core.ownership

/** A change of one machine's assignment that a leader wants: it becomes [next], or ends if that is null, provided that [condition] holds. */
data class AssignmentChange(
    val kind: Kind,
    val machine: String,
    val next: Assignment?,
    val condition: LeaderCondition?,
) {
    /** The functions of [Handover] that leaders use. Their names, in lower case, stand in the log. */
    enum class Kind { ORDER, RELEASE, ADOPT, TAKE_BACK, CLAIM, DROP }
}
