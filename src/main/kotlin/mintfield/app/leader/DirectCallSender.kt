package mintfield.app.leader

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import mintfield.app.ExternalServices
import mintfield.core.DirectCall
import mintfield.core.Scheduler
import mintfield.core.constants.WorkerConstants
import mintfield.io.http.HttpResult
import mintfield.io.http.HttpStatus
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import mintfield.io.worker.CommandCodec
import mintfield.io.worker.HeartbeatCodec

/** Sends commands to workers in direct calls, without waiting for their next heartbeats. The number of concurrent calls is bounded. */
class DirectCallSender(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val services: ExternalServices,
    private val scheduler: Scheduler,
    /** Called after each response. */
    private val onResponse: () -> Unit,
) {
    private var callsInFlight = 0

    /** Sends the commands that are due, with one coroutine for the call to each worker. */
    fun sendDue() {
        for (call in scheduler.directCalls(loop.nowMs(), scheduler.cluster.connectionLimits.directCalls - callsInFlight)) {
            callsInFlight++
            scope.launch {
                try {
                    send(call)
                } finally {
                    callsInFlight--
                }
            }
        }
    }

    private suspend fun send(call: DirectCall) {
        val client = services.worker(call.address) ?: return scheduler.directCallUnanswered(call, sent = false, loop.nowMs())
        val body = CommandCodec.encode(call.term, call.incarnation, call.commands)
        when (val result = client.call("POST", "/commands", body, WorkerConstants.DIRECT_CALL_TIMEOUT_MS)) {
            is HttpResult.Received -> handleResponse(result, call)
            is HttpResult.NoResponse -> scheduler.directCallUnanswered(call, result.sent, loop.nowMs())
        }
    }

    private fun handleResponse(
        response: HttpResult.Received,
        call: DirectCall,
    ) {
        val isRefused = response.status == HttpStatus.CONFLICT
        val heartbeat = if (response.status == HttpStatus.OK || isRefused) HeartbeatCodec.decode(response.body) else null
        if (isRefused) Log.info("machine ${call.machine}: refused commands of term ${call.term}, incarnation ${call.incarnation}")
        scheduler.directCallResponded(call, heartbeat, loop.nowMs())
        onResponse()
    }
}
