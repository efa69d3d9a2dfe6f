package mintfield.core.ownership

/** The controllers drained by operators, as stored at [revision]; the revision is 0 if the store has no record. */
data class DrainRecord(
    val revision: Long,
    /** The names of the drained controllers; null if the record cannot be decoded. */
    val members: Set<String>?,
) {
    /** The transition that drains [member]; [all] are the configured controllers. At least one controller must stay undrained. */
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

    /** The transition that ends the drain of [member], so that it may lead shards again. */
    fun resume(member: String): DrainTransition =
        when {
            members == null -> DrainTransition.Refused(DrainRefusal.UNREADABLE)
            member !in members -> DrainTransition.Refused(DrainRefusal.NOT_DRAINED)
            else -> DrainTransition.Allowed(members - member)
        }

    /** The state before any controller is drained. */
    companion object {
        /** The record assumed while the store has none. */
        val NONE = DrainRecord(revision = 0, members = emptySet())
    }
}
