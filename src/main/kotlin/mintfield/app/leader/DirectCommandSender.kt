package mintfield.app.leader

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import mintfield.app.ExternalServices
import mintfield.core.DirectCall
import mintfield.core.Scheduler
import mintfield.core.constants.WorkerConstants
import mintfield.io.http.Reply
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import mintfield.io.worker.CommandCodec
import mintfield.io.worker.HeartbeatCodec

/** Sends commands to workers without waiting for their heartbeats, a bounded number at a time. */
class DirectCommandSender(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val services: ExternalServices,
    private val scheduler: Scheduler,
    /** Told of each answer. */
    private val answered: () -> Unit,
) {
    private var underWay = 0

    /** Sends what the scheduler wants sent now. */
    fun send() {
        for (call in scheduler.directCalls(loop.nowMs(), scheduler.cluster.bounds.directCalls - underWay)) {
            underWay++
            scope.launch {
                try {
                    send(call)
                } finally {
                    underWay--
                }
            }
        }
    }

    private suspend fun send(call: DirectCall) {
        val client = services.worker(call.address) ?: return scheduler.directUnanswered(call, sent = false, loop.nowMs())
        val body = CommandCodec.encode(call.term, call.incarnation, call.commands)
        when (val r = client.call("POST", "/commands", body, WorkerConstants.DIRECT_COMMAND_TIMEOUT_MS)) {
            is Reply.Answer -> {
                val heartbeat = if (r.status == 200 || r.status == 409) HeartbeatCodec.decode(r.body) else null
                if (r.status == 409) Log.info("${call.machine} refused commands of term ${call.term}, incarnation ${call.incarnation}")
                scheduler.directAnswered(call, heartbeat, loop.nowMs())
                answered()
            }

            is Reply.None -> scheduler.directUnanswered(call, r.sent, loop.nowMs())
        }
    }
}
