package mintfield.standin

import mintfield.history.Answer
import mintfield.history.Operation
import mintfield.history.RequestKind
import mintfield.io.http.Reply
import mintfield.io.json.string
import mintfield.io.worker.JobPhaseCodec
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue

/** Users whose every request, with its times and its answer, is kept as a history. */
class RecordedUsers(
    private val standIns: StandIns,
) {
    private val operations = ConcurrentLinkedQueue<Operation>()

    /** All requests that have come to their end. */
    val history: List<Operation> get() = operations.toList()

    fun submit(
        node: TestNode,
        job: String,
        tasks: Int = 1,
        shape: String = "standing",
        team: String = "floor",
    ) = send(node, RequestKind.SUBMIT, job, "POST", "/v1/jobs", TestJobs.json(job, tasks, shape, team))

    fun poll(
        node: TestNode,
        job: String,
    ) = send(node, RequestKind.POLL, job, "GET", "/v1/jobs/$job", null)

    fun abort(
        node: TestNode,
        job: String,
    ) = send(node, RequestKind.ABORT, job, "POST", "/v1/jobs/$job/abort", "")

    private fun send(
        node: TestNode,
        kind: RequestKind,
        job: String,
        method: String,
        path: String,
        body: String?,
    ): CompletableFuture<Answer> {
        val invokedNanos = System.nanoTime()
        val user = Thread.currentThread().name
        return standIns.send(node.address, method, path, body).thenApply { reply ->
            answer(reply).also { operations.add(Operation(job, user, node.member, kind, invokedNanos, System.nanoTime(), it)) }
        }
    }

    private fun answer(reply: Reply): Answer =
        when (reply) {
            is Reply.None -> Answer.None
            is Reply.Answer ->
                when (reply.status) {
                    201 -> Answer.Created
                    200 -> Answer.Told(JobPhaseCodec.parse(reply.json.string("stage"))!!)
                    404 -> Answer.NotFound
                    400, 422 -> Answer.Rejected
                    else -> Answer.None
                }
        }
}
