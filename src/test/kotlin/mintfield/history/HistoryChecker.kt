package mintfield.history

import mintfield.core.model.JobPhase

/**
 * Checks a history of users' requests for linearizability as far as it shows in each job's progress: the answers of all
 * controllers together are monotonic in real time, and a final state is never left.
 */
class HistoryChecker(
    /** When the last task of a job had completed, in the steady time of the history; null while it has not. */
    private val completedNanos: (String) -> Long? = { Long.MIN_VALUE },
) {
    /** How far a job has come; responses that do not overlap must observe it in the order of the constants. */
    private enum class Progress { UNKNOWN, ACCEPTED, FINAL }

    /** All violations in [history], whose operations may stand in any order. */
    fun check(history: List<Operation>): List<Violation> = history.groupBy { it.job }.values.flatMap(::checkJob)

    private fun checkJob(operations: List<Operation>): List<Violation> {
        val answered = operations.filter { it.answer != Answer.Indeterminate }
        return answered.mapNotNull { staleState(it, answered) } +
            listOfNotNull(conflictingFinalState(answered)) +
            answered.filter { finalPhase(it) == JobPhase.CANCELLED }.mapNotNull { cancelledUnrequested(it, operations) } +
            answered.filter { finalPhase(it) == JobPhase.DONE }.mapNotNull(::doneBeforeCompletion)
    }

    private fun staleState(
        operation: Operation,
        answered: List<Operation>,
    ): Violation? {
        val newest =
            answered
                .filter { it.respondedNanos <= operation.invokedNanos }
                .maxByOrNull { knownAfter(it.answer) } ?: return null
        return Violation(Anomaly.STALE_STATE, operation, newest).takeIf { observedBy(operation.answer) < knownAfter(newest.answer) }
    }

    private fun conflictingFinalState(answered: List<Operation>): Violation? {
        val finalAnswers = answered.filter { finalPhase(it) != null }.sortedBy { it.respondedNanos }
        val other = finalAnswers.firstOrNull { finalPhase(it) != finalPhase(finalAnswers.first()) } ?: return null
        return Violation(Anomaly.CONFLICTING_FINAL_STATES, other, finalAnswers.first())
    }

    private fun cancelledUnrequested(
        operation: Operation,
        operations: List<Operation>,
    ): Violation? {
        val requested = operations.any { it.kind == RequestKind.CANCEL && it.invokedNanos < operation.respondedNanos }
        return Violation(Anomaly.CANCELLED_UNREQUESTED, operation, null).takeUnless { requested }
    }

    private fun doneBeforeCompletion(operation: Operation): Violation? {
        val completed = completedNanos(operation.job)
        return Violation(Anomaly.DONE_BEFORE_COMPLETION, operation, null).takeIf { completed == null || completed > operation.respondedNanos }
    }

    /** What is known of the job once [answer] has arrived. */
    private fun knownAfter(answer: Answer): Progress =
        when (answer) {
            Answer.Created -> Progress.ACCEPTED
            is Answer.Observed -> if (answer.phase.isFinal) Progress.FINAL else Progress.ACCEPTED
            Answer.NotFound, Answer.Rejected, Answer.Indeterminate -> Progress.UNKNOWN
        }

    /** The state that the controller must have observed to give [answer]: a job is created only where there was none. */
    private fun observedBy(answer: Answer): Progress = if (answer == Answer.Created) Progress.UNKNOWN else knownAfter(answer)

    private fun finalPhase(operation: Operation): JobPhase? = (operation.answer as? Answer.Observed)?.phase?.takeIf { it.isFinal }

    private val JobPhase.isFinal get() = this == JobPhase.DONE || this == JobPhase.CANCELLED
}
