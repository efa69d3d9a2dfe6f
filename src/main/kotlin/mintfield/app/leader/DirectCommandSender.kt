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

/** Sends commands to workers without waiting for their heartbeats. The number of calls under way is bounded. */
class DirectCommandSender(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val services: ExternalServices,
    private val scheduler: Scheduler,
    /** Called with each answer. */
    private val answered: () -> Unit,
) {
    private var callsUnderWay = 0

    /** Sends what the scheduler wants sent now, each call in a coroutine of its own. */
    fun sendDue() {
        for (call in scheduler.directCalls(loop.nowMs(), scheduler.cluster.connectionLimits.directCalls - callsUnderWay)) {
            callsUnderWay++
            scope.launch {
                try {
                    send(call)
                } finally {
                    callsUnderWay--
                }
            }
        }
    }

    private suspend fun send(call: DirectCall) {
        val client = services.worker(call.address) ?: return scheduler.directCallUnanswered(call, sent = false, loop.nowMs())
        val body = CommandCodec.encode(call.term, call.incarnation, call.commands)
        when (val reply = client.call("POST", "/commands", body, WorkerConstants.DIRECT_COMMAND_TIMEOUT_MS)) {
            is HttpResult.Received -> take(reply, call)
            is HttpResult.NoResponse -> scheduler.directCallUnanswered(call, reply.sent, loop.nowMs())
        }
    }

    private fun take(
        answer: HttpResult.Received,
        call: DirectCall,
    ) {
        val isRefused = answer.status == HttpStatus.CONFLICT
        val heartbeat = if (answer.status == HttpStatus.OK || isRefused) HeartbeatCodec.decode(answer.body) else null
        if (isRefused) Log.info("${call.machine} refused commands of term ${call.term}, incarnation ${call.incarnation}")
        scheduler.directCallResponded(call, heartbeat, loop.nowMs())
        answered()
    }
}
