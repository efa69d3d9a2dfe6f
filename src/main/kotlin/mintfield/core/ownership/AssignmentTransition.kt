package mintfield.core.ownership

/** The result of requesting a transition of the state machine [Handover]. */
sealed interface AssignmentTransition {
    /** The assignment may change to [next], or be deleted if [next] is null, provided that it is unchanged until then and [condition] holds. */
    data class Allowed(
        val next: Assignment?,
        val condition: LeaderCondition? = null,
    ) : AssignmentTransition

    /** The transition is not permitted; the assignment stays unchanged. */
    data class Refused(
        val refusal: AssignmentRefusal,
    ) : AssignmentTransition
}
