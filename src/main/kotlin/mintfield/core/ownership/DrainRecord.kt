package mintfield.core.ownership

/** The controllers that operators have drained, as the store holds them at revision [revision]; 0 if there is no record. */
data class DrainRecord(
    val revision: Long,
    /** Null if the record cannot be read. */
    val members: Set<String>?,
) {
    /** What follows if [member] is drained too; [all] are the controllers that there are. */
    fun drain(
        member: String,
        all: Collection<String>,
    ): DrainStep =
        when {
            members == null -> DrainStep.Refused(DrainRefusal.UNREADABLE)
            member !in all -> DrainStep.Refused(DrainRefusal.UNKNOWN_CONTROLLER)
            member in members -> DrainStep.Refused(DrainRefusal.ALREADY_DRAINED)
            all.all { it == member || it in members } -> DrainStep.Refused(DrainRefusal.LAST_CONTROLLER)
            else -> DrainStep.To(members + member)
        }

    /** What follows if [member] may lead shares again. */
    fun resume(member: String): DrainStep =
        when {
            members == null -> DrainStep.Refused(DrainRefusal.UNREADABLE)
            member !in members -> DrainStep.Refused(DrainRefusal.NOT_DRAINED)
            else -> DrainStep.To(members - member)
        }

    companion object {
        val NONE = DrainRecord(0, emptySet())
    }
}

/** What becomes of a wish to drain a controller or to end that. */
sealed interface DrainStep {
    data class To(
        val members: Set<String>,
    ) : DrainStep

    data class Refused(
        val refusal: DrainRefusal,
    ) : DrainStep
}

/** Why a controller is not drained, or does not resume. */
enum class DrainRefusal(
    val reason: String,
) {
    UNREADABLE("the record of drained controllers cannot be read"),
    UNKNOWN_CONTROLLER("unknown controller"),
    ALREADY_DRAINED("it is drained already"),
    NOT_DRAINED("it is not drained"),
    LAST_CONTROLLER("no other controller would be left"),
}
