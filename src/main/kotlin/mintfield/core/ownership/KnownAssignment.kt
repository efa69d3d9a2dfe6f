package mintfield.core.ownership

/** The knowledge of a machine's assignment in a replica of the assignment table. */
sealed interface KnownAssignment {
    /** The machine has [assignment]; [sinceRevision] is the revision at which the replica first saw it. */
    data class Assigned(
        val assignment: Assignment,
        val sinceRevision: Long,
    ) : KnownAssignment

    /** The block of the machine has been read and has no entry for the machine. */
    data object None : KnownAssignment

    /** The block of the machine cannot be decoded, or has not been read yet: no leader may act for the machine. */
    data object Unknown : KnownAssignment
}
