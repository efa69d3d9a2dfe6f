package mintfield.history

import mintfield.core.model.JobPhase

/**
 * Checks a history of user requests for linearizability with respect to the progress of each job: the responses of all
 * controllers together must be monotonic in real time, and a final state must never change.
 */
class HistoryChecker(
    /** When the last task of a job completed, in steady nanoseconds; null if not all tasks have completed. */
    private val completedNanos: (String) -> Long? = { Long.MIN_VALUE },
) {
    /** Progress of a job; requests that do not overlap must observe it in the order of the constants. */
    private enum class Progress { UNKNOWN, ACCEPTED, FINAL }

    /** Returns all violations in [history], whose operations may be in any order. */
    fun check(history: List<Operation>): List<Violation> = history.groupBy { it.job }.values.flatMap(::checkJob)

    private fun checkJob(operations: List<Operation>): List<Violation> {
        val determinate = operations.filter { it.response != JobResponse.Indeterminate }
        return determinate.mapNotNull { staleState(it, determinate) } +
            listOfNotNull(conflictingFinalState(determinate)) +
            determinate.filter { finalPhase(it) == JobPhase.CANCELLED }.mapNotNull { cancelledUnrequested(it, operations) } +
            determinate.filter { finalPhase(it) == JobPhase.DONE }.mapNotNull(::doneBeforeCompletion)
    }

    private fun staleState(
        operation: Operation,
        determinate: List<Operation>,
    ): Violation? {
        val newest =
            determinate
                .filter { it.respondedNanos <= operation.invokedNanos }
                .maxByOrNull { knownAfter(it.response) } ?: return null
        return Violation(Anomaly.STALE_STATE, operation, newest).takeIf { observedBy(operation.response) < knownAfter(newest.response) }
    }

    private fun conflictingFinalState(determinate: List<Operation>): Violation? {
        val finalResponses = determinate.filter { finalPhase(it) != null }.sortedBy { it.respondedNanos }
        val other = finalResponses.firstOrNull { finalPhase(it) != finalPhase(finalResponses.first()) } ?: return null
        return Violation(Anomaly.CONFLICTING_FINAL_STATES, other, finalResponses.first())
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

    /** The minimum progress of the job once [response] has been received. */
    private fun knownAfter(response: JobResponse): Progress =
        when (response) {
            JobResponse.Created -> Progress.ACCEPTED
            is JobResponse.Observed -> if (response.phase.isFinal) Progress.FINAL else Progress.ACCEPTED
            JobResponse.NotFound, JobResponse.Rejected, JobResponse.Indeterminate -> Progress.UNKNOWN
        }

    /** The progress that the controller observed before it sent [response]: it creates a job only if there was none. */
    private fun observedBy(response: JobResponse): Progress = if (response == JobResponse.Created) Progress.UNKNOWN else knownAfter(response)

    private fun finalPhase(operation: Operation): JobPhase? = (operation.response as? JobResponse.Observed)?.phase?.takeIf { it.isFinal }

    private val JobPhase.isFinal get() = this == JobPhase.DONE || this == JobPhase.CANCELLED
}
