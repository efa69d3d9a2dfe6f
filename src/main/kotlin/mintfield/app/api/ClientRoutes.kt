package mintfield.app.api

import mintfield.app.Metrics
import mintfield.app.Readiness
import mintfield.app.heartbeat.HeartbeatEndpoint
import mintfield.app.peer.PeerRelay
import mintfield.core.constants.UserApiConstants
import mintfield.io.http.HttpMessage
import mintfield.io.http.HttpStatus
import mintfield.io.http.Response
import mintfield.io.json.Json
import mintfield.io.loop.EventLoop

/** Routes the requests on the client port, which serves users, workers and the load balancer. */
class ClientRoutes(
    private val loop: EventLoop,
    private val heartbeats: HeartbeatEndpoint,
    private val users: UserApi,
    private val relay: PeerRelay,
    private val readiness: Readiness,
    private val metrics: Metrics,
    /** Whether so few sockets are free that workers must not keep their connections open. */
    private val isShortOfSockets: () -> Boolean,
) {
    /** Responds to a request that was received on the client port. */
    suspend fun receive(request: HttpMessage): Response {
        val path = request.path
        return when {
            path == HEARTBEAT_PATH -> allowOnly("POST", request) { closingIfShortOfSockets(heartbeats.receive(request.body)) }
            path == READY_PATH -> allowOnly("GET", request) { ready() }
            path.startsWith(JOBS_PATH) -> relay.userRequest(request) ?: userRequest(request)
            else -> noSuchPath()
        }
    }

    /** Responds to a user's request without relaying it, whether it was received from the user or relayed by a peer. */
    suspend fun userRequest(request: HttpMessage): Response {
        val path = request.path
        return when {
            path == JOBS_PATH -> allowOnly("POST", request) { timed(metrics::recordSubmission) { users.submit(request) } }
            path.startsWith(JOB_PATH) && path.endsWith(ABORT_SUFFIX) ->
                allowOnly("POST", request) { users.abort(path.substring(JOB_PATH.length, path.length - ABORT_SUFFIX.length)) }
            path.startsWith(JOB_PATH) -> allowOnly("GET", request) { timed(metrics::recordQuery) { users.poll(path.substring(JOB_PATH.length)) } }
            else -> noSuchPath()
        }
    }

    /** Marks a response to a worker to close its connection if few sockets are free, so that another worker can connect. */
    private fun closingIfShortOfSockets(response: Response): Response = if (isShortOfSockets()) response.closing() else response

    private fun ready(): Response {
        val state = readiness.state()
        if (state == Readiness.State.READY) return Response(HttpStatus.OK, Json.obj { writeBooleanField("ready", true) })
        return Response.error(HttpStatus.SERVICE_UNAVAILABLE, state.text, UserApiConstants.RETRY_AFTER_S)
    }

    private inline fun timed(
        record: (Long) -> Unit,
        action: () -> Response,
    ): Response {
        val startedAtMs = loop.nowMs()
        return action().also { record(loop.nowMs() - startedAtMs) }
    }

    private inline fun allowOnly(
        method: String,
        request: HttpMessage,
        action: () -> Response,
    ): Response {
        if (request.method == method) return action()
        val error = Response.error(HttpStatus.METHOD_NOT_ALLOWED, "only $method is served here")
        return Response(HttpStatus.METHOD_NOT_ALLOWED, error.body, allow = method)
    }

    private fun noSuchPath() = Response.error(HttpStatus.NOT_FOUND, "no such path")

    private companion object {
        const val HEARTBEAT_PATH = "/checkin"
        const val READY_PATH = "/ready"
        const val JOBS_PATH = "/v1/jobs"
        const val JOB_PATH = "$JOBS_PATH/"
        const val ABORT_SUFFIX = "/abort"
    }
}
