package mintfield.loopback

import mintfield.history.JobResponse
import mintfield.history.Operation
import mintfield.history.RequestKind
import mintfield.io.http.HttpResult
import mintfield.io.json.string
import mintfield.io.worker.JobPhaseCodec
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue

/** Sends requests of users and records each with its start, end and outcome, as input for [mintfield.history.HistoryChecker]. */
class RecordedUsers(
    private val services: LoopbackServices,
) {
    private val operations = ConcurrentLinkedQueue<Operation>()

    /** All requests that received a response or timed out. */
    val history: List<Operation> get() = operations.toList()

    /** Submits [job]; [shape] is a value of the protocol. */
    fun submit(
        controller: TestController,
        job: String,
        tasks: Int = 1,
        shape: String = "standing",
        team: String = "floor",
    ) = send(controller, RequestKind.SUBMIT, job, "POST", "/v1/jobs", TestJobs.json(job, tasks, shape, team))

    /** Requests the phase of [job]. */
    fun poll(
        controller: TestController,
        job: String,
    ) = send(controller, RequestKind.POLL, job, "GET", "/v1/jobs/$job", null)

    /** Cancels [job]. */
    fun cancel(
        controller: TestController,
        job: String,
    ) = send(controller, RequestKind.CANCEL, job, "POST", "/v1/jobs/$job/abort", "")

    private fun send(
        controller: TestController,
        kind: RequestKind,
        job: String,
        method: String,
        path: String,
        body: String?,
    ): CompletableFuture<JobResponse> {
        val invokedNanos = System.nanoTime()
        val user = Thread.currentThread().name
        return services.client.send(controller.address, method, path, body).thenApply { result ->
            outcomeOf(result).also { operations.add(Operation(job, user, controller.member, kind, invokedNanos, System.nanoTime(), it)) }
        }
    }

    private fun outcomeOf(result: HttpResult): JobResponse =
        when (result) {
            is HttpResult.NoResponse -> JobResponse.Indeterminate
            is HttpResult.Received ->
                when (result.status) {
                    201 -> JobResponse.Created
                    200 -> JobResponse.Observed(JobPhaseCodec.parse(result.json.string("stage"))!!)
                    404 -> JobResponse.NotFound
                    400, 422 -> JobResponse.Rejected
                    else -> JobResponse.Indeterminate
                }
        }
}
