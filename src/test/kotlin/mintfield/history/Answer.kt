package mintfield.history

import mintfield.core.model.JobPhase

/** What a response says about the job; the result of an [Operation]. */
sealed interface Answer {
    /** 201: the job was accepted by this very request. */
    data object Created : Answer

    /** 200: the job was in this phase at some moment between the invocation and the response. */
    data class Observed(
        val phase: JobPhase,
    ) : Answer

    /** 404: no such job. */
    data object NotFound : Answer

    /** 400 or 422: the job is not accepted. */
    data object Rejected : Answer

    /** 429, 503, a time-out or a lost connection: the request may or may not have taken effect. */
    data object Indeterminate : Answer
}
