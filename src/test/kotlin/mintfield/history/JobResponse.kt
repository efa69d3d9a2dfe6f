package mintfield.history

import mintfield.core.model.JobPhase

/** The state of a job according to the response to an [Operation]. */
sealed interface JobResponse {
    /** 201: the job was accepted by this request. */
    data object Created : JobResponse

    /** 200: the job was in [phase] at some time between the invocation and the response. */
    data class Observed(
        val phase: JobPhase,
    ) : JobResponse

    /** 404: there is no job with this id. */
    data object NotFound : JobResponse

    /** 400 or 422: the job was not accepted. */
    data object Rejected : JobResponse

    /** 429, 503, a time-out or a lost connection: it is unknown whether the request took effect. */
    data object Indeterminate : JobResponse
}
