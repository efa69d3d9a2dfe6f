package mintfield.core.ownership

/** The answer of the state machine [Handover] to a request to change an assignment. */
sealed interface AssignmentTransition {
    /** The assignment may become [next], or end if that is null, provided that it has not changed and that [condition] holds. */
    data class Allowed(
        val next: Assignment?,
        val condition: LeaderCondition? = null,
    ) : AssignmentTransition

    /** The assignment stays as it is. */
    data class Refused(
        val refusal: AssignmentRefusal,
    ) : AssignmentTransition
}
