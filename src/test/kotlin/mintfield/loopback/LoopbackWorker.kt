package mintfield.loopback

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import mintfield.core.model.ExitReason
import mintfield.core.model.TaskId
import mintfield.core.model.WorkerCommand
import mintfield.history.AcceptedToken
import mintfield.io.http.HttpClient
import mintfield.io.http.HttpMessage
import mintfield.io.http.HttpResult
import mintfield.io.http.Response
import mintfield.io.json.Json
import mintfield.sim.SimWorker
import java.net.InetSocketAddress

/** A worker on loopback that behaves as the simulation's [SimWorker]; it is made and runs on the loop of [services]. */
class LoopbackWorker(
    private val services: LoopbackServices,
    id: String,
    /** Milliseconds that its tasks run, or by their number a little more. */
    taskMs: Long,
    private val upAfterMs: Long,
) {
    private val loop = services.loop

    /** Tasks that it started, in order, once for each start. */
    val started = ArrayList<TaskId>()
    val sim = SimWorker(id, "north", false, loop.nowMs(), LEASE_MS, taskMs - SHORTEST_TASK_MS, onStart = { _, task -> started.add(task) })

    /** Port at which it takes direct commands. */
    val port = services.serve { request -> directCommand(request) }

    /** Tasks that had not ended at its last step; read from any thread. */
    @Volatile var activeTasks: List<TaskId> = emptyList()
        private set

    private var controllerIndex = 0
    private val clients = HashMap<InetSocketAddress, HttpClient>()

    init {
        services.scope.launch { sendHeartbeats() }
    }

    private fun directCommand(request: HttpMessage): Response {
        val body = Json.parseObject(request.body)!!
        val token = WorkerWire.token(body)
        val incarnation = WorkerWire.incarnation(body)
        val commands = WorkerWire.commands(body)
        val accepted = token >= sim.term && incarnation == sim.incarnation
        if (accepted) recordAccepted(token, commands)
        val heartbeat = sim.receiveCommands(token, incarnation!!, commands)!!
        return Response(if (accepted) OK else CONFLICT, WorkerWire.encode(heartbeat, address()))
    }

    private fun address() = "127.0.0.1:$port"

    private suspend fun sendHeartbeats() {
        delay(upAfterMs)
        while (true) {
            delay(services.heartbeatIntervalMs)
            sim.step(loop.nowMs())
            activeTasks = sim.activeTasks()
            recordCompleted()
            val controllers = services.controllers
            val controller = controllers.getOrNull(controllerIndex % maxOf(1, controllers.size)) ?: continue
            if (!services.heartbeatsPaused) sendHeartbeat(controller)
        }
    }

    private suspend fun sendHeartbeat(controller: InetSocketAddress) {
        val sentAtMs = loop.nowMs()
        val incarnation = sim.incarnation
        val client = clients.getOrPut(controller) { HttpClient(loop, services.group, controller, 1) }
        val body = WorkerWire.encode(sim.heartbeat(), address())
        val reply = client.call("POST", WorkerWire.HEARTBEAT_PATH, body, HEARTBEAT_TIMEOUT_MS)
        if (reply !is HttpResult.Received || reply.status != OK) return changeController(reply)
        val token = WorkerWire.token(reply.json)
        val commands = WorkerWire.commands(reply.json)
        if (token >= sim.term && incarnation == sim.incarnation) recordAccepted(token, commands)
        sim.receiveResponse(token, commands, sentAtMs, incarnation)
    }

    /** Goes on at the controller that the reply names, or else at the next one. */
    private fun changeController(reply: HttpResult) {
        val named = (reply as? HttpResult.Received)?.let { WorkerWire.redirect(it.json) }
        val index = named?.let { services.controllers.indexOf(services.addressesByName[it]) } ?: -1
        controllerIndex = if (index >= 0) index else controllerIndex + 1
    }

    private fun recordAccepted(
        token: Long,
        commands: List<WorkerCommand>,
    ) {
        val stoppedJobs = commands.filterIsInstance<WorkerCommand.Stop>().map { it.task.job }
        services.accepted.add(AcceptedToken(sim.id, token, System.nanoTime(), stoppedJobs))
    }

    private fun recordCompleted() {
        val nowNanos = System.nanoTime()
        sim.tasks
            .filterValues { it.exitReason == ExitReason.DONE }
            .keys
            .forEach { services.completedNanos.putIfAbsent(it, nowNanos) }
    }

    companion object {
        /** Milliseconds that a task of [SimWorker] runs at the least. */
        const val SHORTEST_TASK_MS = 3_000L

        private const val LEASE_MS = 10_000L

        /** Milliseconds that a worker waits for the answer to its heartbeat. */
        private const val HEARTBEAT_TIMEOUT_MS = 2_000L

        private const val OK = 200
        private const val CONFLICT = 409
    }
}
