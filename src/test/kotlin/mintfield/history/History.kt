package mintfield.history

import mintfield.core.model.JobPhase

/** What a user can ask about a job. */
enum class RequestKind { SUBMIT, POLL, ABORT }

/** What a user was told. */
sealed interface Answer {
    /** 201: the job was accepted by this very request. */
    data object Created : Answer

    /** 200 with the job's state. */
    data class Told(
        val stage: JobPhase,
    ) : Answer

    /** 404: no such job. */
    data object NotFound : Answer

    /** 400 or 422: the job is not taken. */
    data object Rejected : Answer

    /** 429, 503, a time-out or a lost connection: nothing is said of the job. */
    data object None : Answer
}

/** One request of one user, with the steady times of its invocation and of its response. */
data class Operation(
    val job: String,
    val user: String,
    val node: String,
    val kind: RequestKind,
    val invokedNanos: Long,
    val respondedNanos: Long,
    val answer: Answer,
)

/** What a history must not show. */
enum class Anomaly {
    /** A request got an older state than some user had been told before it was invoked. */
    OLDER_STATE,

    /** A job was called done by one response and cancelled by another. */
    TWO_FINAL_STATES,

    /** A job was called cancelled before any user had asked to cancel it. */
    WITHDRAWN_UNASKED,

    /** A job was called done before all of its tasks were. */
    DONE_TOO_EARLY,
}

/** An anomaly, the response that shows it, and the one that it contradicts, if there is one. */
data class Violation(
    val anomaly: Anomaly,
    val shownBy: Operation,
    val contradicts: Operation?,
)

/**
 * Judges a history of users' requests by what PROTOCOL promises: every answer is linearizable with those of all other nodes, so
 * reads are monotonic across users, and a final state is never left.
 */
class HistoryChecker(
    /** When the last task of a job had completed, in the steady time of the history; null while it has not. */
    private val completedNanos: (String) -> Long? = { Long.MIN_VALUE },
) {
    /** How far a job has come, as an answer tells; the order of the constants is the only order in which it may be told. */
    private enum class Progress { UNKNOWN, ACCEPTED, FINAL }

    fun check(history: List<Operation>): List<Violation> = history.groupBy { it.job }.values.flatMap(::checkJob)

    private fun checkJob(operations: List<Operation>): List<Violation> {
        val answered = operations.filter { it.answer != Answer.None }
        return answered.mapNotNull { olderThanKnown(it, answered) } +
            listOfNotNull(secondFinalState(answered)) +
            answered.filter { finalStage(it) == JobPhase.CANCELLED }.mapNotNull { unasked(it, operations) } +
            answered.filter { finalStage(it) == JobPhase.DONE }.mapNotNull(::tooEarly)
    }

    private fun olderThanKnown(
        operation: Operation,
        answered: List<Operation>,
    ): Violation? {
        val newest =
            answered
                .filter { it.respondedNanos <= operation.invokedNanos }
                .maxByOrNull { told(it.answer) } ?: return null
        return Violation(Anomaly.OLDER_STATE, operation, newest).takeIf { seen(operation.answer) < told(newest.answer) }
    }

    private fun secondFinalState(answered: List<Operation>): Violation? {
        val finals = answered.filter { finalStage(it) != null }.sortedBy { it.respondedNanos }
        val other = finals.firstOrNull { finalStage(it) != finalStage(finals.first()) } ?: return null
        return Violation(Anomaly.TWO_FINAL_STATES, other, finals.first())
    }

    private fun unasked(
        operation: Operation,
        operations: List<Operation>,
    ): Violation? {
        val asked = operations.any { it.kind == RequestKind.ABORT && it.invokedNanos < operation.respondedNanos }
        return Violation(Anomaly.WITHDRAWN_UNASKED, operation, null).takeUnless { asked }
    }

    private fun tooEarly(operation: Operation): Violation? {
        val completed = completedNanos(operation.job)
        return Violation(Anomaly.DONE_TOO_EARLY, operation, null).takeIf { completed == null || completed > operation.respondedNanos }
    }

    /** What is known of the job once [answer] has arrived. */
    private fun told(answer: Answer): Progress =
        when (answer) {
            Answer.Created -> Progress.ACCEPTED
            is Answer.Told -> if (answer.stage.isFinal) Progress.FINAL else Progress.ACCEPTED
            Answer.NotFound, Answer.Rejected, Answer.None -> Progress.UNKNOWN
        }

    /** The state that the node must have seen to give [answer]: a job is created only where there was none. */
    private fun seen(answer: Answer): Progress = if (answer == Answer.Created) Progress.UNKNOWN else told(answer)

    private fun finalStage(operation: Operation): JobPhase? = (operation.answer as? Answer.Told)?.stage?.takeIf { it.isFinal }

    private val JobPhase.isFinal get() = this == JobPhase.DONE || this == JobPhase.CANCELLED
}
