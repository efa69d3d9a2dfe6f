package mintfield.core.model

/** What a worker says of itself. (season, tally) orders the reports of one worker. */
data class Report(
    val machine: String,
    val address: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val season: Long,
    val tally: Long,
    val termSeen: Long,
    val noticeS: Double?,
    val tasks: List<ReportedTask>,
)

enum class ReportedState { PULLING, RUNNING, SAVING, ENDED }

enum class EndCause { DONE, STOPPED, ERROR, NO_ROOM, IN_USE, NO_SUCH, PEERS, UNKNOWN }

data class ReportedTask(
    val task: TaskId,
    val attempt: Long,
    val state: ReportedState,
    val cause: EndCause?,
)

/** A command to a worker. */
sealed interface Order {
    val task: TaskId
    val attempt: Long

    data class Run(
        override val task: TaskId,
        override val attempt: Long,
    ) : Order

    data class Halt(
        override val task: TaskId,
        override val attempt: Long,
        val graceS: Double,
    ) : Order

    data class Clear(
        override val task: TaskId,
        override val attempt: Long,
    ) : Order
}
