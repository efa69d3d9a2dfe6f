package mintfield.app

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import mintfield.core.DirectCall
import mintfield.core.Scheduler
import mintfield.core.Tuning
import mintfield.io.http.Reply
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import mintfield.io.worker.WorkerCodec

/** Sends commands to workers without waiting for their reports, a bounded number at a time. */
class DirectCommandSender(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val outside: Outside,
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
        val client = outside.worker(call.address) ?: return scheduler.directUnanswered(call, sent = false, loop.nowMs())
        val body = WorkerCodec.orders(call.term, call.season, call.orders)
        when (val r = client.call("POST", "/commands", body, Tuning.DIRECT_TIMEOUT_MS)) {
            is Reply.Answer -> {
                val report = if (r.status == 200 || r.status == 409) WorkerCodec.report(r.body) else null
                if (r.status == 409) Log.info("${call.machine} refused orders of term ${call.term}, season ${call.season}")
                scheduler.directAnswered(call, report, loop.nowMs())
                answered()
            }

            is Reply.None -> scheduler.directUnanswered(call, r.sent, loop.nowMs())
        }
    }
}
