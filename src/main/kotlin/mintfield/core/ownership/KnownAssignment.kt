package mintfield.core.ownership

/** What a replica of the assignment table knows of a machine's owner. */
sealed interface KnownAssignment {
    /** The machine has [assignment], which is known to hold from the revision [sinceRevision] on. */
    data class Assigned(
        val assignment: Assignment,
        val sinceRevision: Long,
    ) : KnownAssignment

    /** The block of the machine was read and has no entry for it. */
    data object None : KnownAssignment

    /** The block of the machine cannot be read, or has not been yet: nobody may act for the machine. */
    data object Unknown : KnownAssignment
}
