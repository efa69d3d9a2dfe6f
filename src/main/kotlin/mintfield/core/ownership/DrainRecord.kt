package mintfield.core.ownership

/** The controllers that operators have drained, as the store holds them at revision [revision]; 0 if there is no record. */
data class DrainRecord(
    val revision: Long,
    /** Null if the record cannot be read. */
    val members: Set<String>?,
) {
    /** The transition when [member] is to be drained too; [all] are the configured controllers. */
    fun drain(
        member: String,
        all: Collection<String>,
    ): DrainTransition =
        when {
            members == null -> DrainTransition.Refused(DrainRefusal.UNREADABLE)
            member !in all -> DrainTransition.Refused(DrainRefusal.UNKNOWN_CONTROLLER)
            member in members -> DrainTransition.Refused(DrainRefusal.ALREADY_DRAINED)
            all.all { it == member || it in members } -> DrainTransition.Refused(DrainRefusal.LAST_CONTROLLER)
            else -> DrainTransition.Allowed(members + member)
        }

    /** The transition when [member] may lead shards again. */
    fun resume(member: String): DrainTransition =
        when {
            members == null -> DrainTransition.Refused(DrainRefusal.UNREADABLE)
            member !in members -> DrainTransition.Refused(DrainRefusal.NOT_DRAINED)
            else -> DrainTransition.Allowed(members - member)
        }

    /** The initial record. */
    companion object {
        /** What holds while the store has no record. */
        val NONE = DrainRecord(revision = 0, members = emptySet())
    }
}
