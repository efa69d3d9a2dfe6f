package mintfield.core.ownership

/** A requested change of one machine's assignment to [next], or its deletion if [next] is null. Applied only if [condition] holds. */
data class AssignmentChange(
    val kind: Kind,
    val machine: String,
    val next: Assignment?,
    val condition: LeaderCondition?,
) {
    /** The transitions of [Handover] that leaders make. The log prints their names in lower case. */
    enum class Kind { ORDER, RELEASE, ADOPT, TAKE_BACK, CLAIM, DROP }
}
