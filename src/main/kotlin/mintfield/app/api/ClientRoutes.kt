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

/** Routes the requests of the client port, which users, workers and the load balancer share. */
class ClientRoutes(
    private val loop: EventLoop,
    private val heartbeats: HeartbeatEndpoint,
    private val users: UserApi,
    private val relay: PeerRelay,
    private val readiness: Readiness,
    private val metrics: Metrics,
    /** Whether few sockets are left, so that workers should not keep their connections. */
    private val isShortOfSockets: () -> Boolean,
) {
    /** Answers a request that came straight from its client. */
    suspend fun receive(request: HttpMessage): Response {
        val path = request.path
        return when {
            path == HEARTBEAT_PATH -> only("POST", request) { closingWhenShortOfSockets(heartbeats.receive(request.body)) }
            path == READY_PATH -> only("GET", request) { ready() }
            path.startsWith(JOBS_PATH) -> relay.userRequest(request) ?: userRequest(request)
            else -> noSuchPath()
        }
    }

    /** Answers a user's request here, whether it came straight from the user or by way of a peer. */
    suspend fun userRequest(request: HttpMessage): Response {
        val path = request.path
        return when {
            path == JOBS_PATH -> only("POST", request) { timed(metrics::accepted) { users.submit(request) } }
            path.startsWith(JOB_PATH) && path.endsWith(ABORT_SUFFIX) ->
                only("POST", request) { users.abort(path.substring(JOB_PATH.length, path.length - ABORT_SUFFIX.length)) }
            path.startsWith(JOB_PATH) -> only("GET", request) { timed(metrics::polled) { users.poll(path.substring(JOB_PATH.length)) } }
            else -> noSuchPath()
        }
    }

    /** With few sockets left a worker's connection is closed after its answer, so that there is room for the next worker. */
    private fun closingWhenShortOfSockets(response: Response): Response = if (isShortOfSockets()) response.closing() else response

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

    private inline fun only(
        method: String,
        request: HttpMessage,
        action: () -> Response,
    ): Response {
        if (request.method == method) return action()
        val plain = Response.error(HttpStatus.METHOD_NOT_ALLOWED, "only $method is served here")
        return Response(HttpStatus.METHOD_NOT_ALLOWED, plain.body, allow = method)
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
