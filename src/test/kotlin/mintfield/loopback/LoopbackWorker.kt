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

/** Worker that drives a [SimWorker] of the simulation over loopback. It is created and runs on the loop of [services]. */
class LoopbackWorker(
    private val services: LoopbackServices,
    id: String,
    /** Run time of its tasks, slightly longer depending on the task number. */
    taskMs: Long,
    private val startDelayMs: Long,
) {
    private val loop = services.loop

    /** Number of direct commands that have reached it once more. */
    @Volatile var repeatedCommands = 0
        private set

    /** Tasks in the order of their starts, with one entry per start. */
    val started = ArrayList<TaskId>()
    val sim = SimWorker(id, "north", false, loop.nowMs(), LEASE_MS, taskMs - MIN_TASK_MS, onStart = { _, task -> recordStart(task) })

    /** Port on which it accepts direct commands. */
    val port = services.serve { request -> handleDirectCommand(request) }

    /** Tasks that had not ended at the last step of [sim]. May be read from any thread. */
    @Volatile var activeTasks: List<TaskId> = emptyList()
        private set

    private var controllerIndex = 0
    private val clients = HashMap<InetSocketAddress, HttpClient>()

    init {
        services.scope.launch { sendHeartbeats() }
    }

    private fun handleDirectCommand(request: HttpMessage): Response {
        val body = Json.parseObject(request.body)!!
        val token = WorkerProtocolCodec.token(body)
        val incarnation = WorkerProtocolCodec.incarnation(body)
        val commands = WorkerProtocolCodec.commands(body)
        val accepted = sim.alive && token >= sim.term && incarnation == sim.incarnation
        if (accepted) {
            recordAccepted(token, commands)
            services.repeatDirectCommandsAfterMs.forEach { repeatAfter(it, token, incarnation, commands) }
        }
        val heartbeat = sim.receiveCommands(token, incarnation!!, commands) ?: return Response.error(GONE, "the machine was deleted")
        return Response(if (accepted) OK else CONFLICT, WorkerProtocolCodec.encode(heartbeat, address()))
    }

    private fun repeatAfter(
        delayMs: Long,
        token: Long,
        incarnation: Long,
        commands: List<WorkerCommand>,
    ) = services.scope.launch {
        delay(delayMs)
        sim.step(loop.nowMs())
        sim.receiveCommands(token, incarnation, commands)
        repeatedCommands++
    }

    private fun recordStart(task: TaskId) {
        started.add(task)
        services.onStart(this, task)
    }

    private fun address() = "127.0.0.1:$port"

    private suspend fun sendHeartbeats() {
        delay(startDelayMs)
        while (sim.alive) {
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
        val body = WorkerProtocolCodec.encode(sim.heartbeat(), address())
        val result = client.call("POST", WorkerProtocolCodec.HEARTBEAT_PATH, body, HEARTBEAT_TIMEOUT_MS)
        if (result !is HttpResult.Received || result.status != OK) return changeController(result)
        val token = WorkerProtocolCodec.token(result.json)
        val commands = WorkerProtocolCodec.commands(result.json)
        if (token >= sim.term && incarnation == sim.incarnation) recordAccepted(token, commands)
        sim.receiveResponse(token, commands, sentAtMs, incarnation)
    }

    /** Selects the controller that [result] redirects to; without a redirect, the next one in order. */
    private fun changeController(result: HttpResult) {
        val named = (result as? HttpResult.Received)?.let { WorkerProtocolCodec.redirect(it.json) }
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
        /** Minimum run time of a task of [SimWorker]. */
        const val MIN_TASK_MS = 3_000L

        private const val LEASE_MS = 10_000L

        /** Time that a worker waits for the response to a heartbeat. */
        private const val HEARTBEAT_TIMEOUT_MS = 2_000L

        private const val OK = 200
        private const val CONFLICT = 409
        private const val GONE = 410
    }
}
