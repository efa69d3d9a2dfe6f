package mintfield.sim

import mintfield.core.DirectCall
import mintfield.core.HeartbeatResponse
import mintfield.core.model.Heartbeat

/** Delivers heartbeats and direct commands between workers and leaders; messages may be lost, delayed or repeated. */
class SimulatedNetwork(
    private val context: SimulationContext,
    private val leaders: SimulatedLeaders,
    private val cloud: SimulatedCloud,
) {
    private val random get() = context.random
    private val copies = ArrayList<Heartbeat>()

    /** Fraction of the heartbeats of which a copy is kept and delivered to the next elected leader. */
    var copiedHeartbeatFraction = 0.0

    /** Fraction of the direct commands that arrive once more after they were carried out and answered. */
    var repeatedCallFraction = 0.0

    /** Number of direct commands that have arrived once more. */
    var repeatedCalls = 0
        private set

    /** Delivers the kept copies of heartbeats to [leader], which has just been elected. */
    fun deliverCopies(leader: SimulatedLeader) {
        copies.forEach { processHeartbeat(leader, it) }
        copies.clear()
    }

    /** Advances the clocks of all workers and sends the heartbeats that are due. */
    fun stepWorkers() {
        for (worker in cloud.workers) {
            worker.step(context.nowMs)
            if (!worker.alive || worker.hung || worker.losesHeartbeats) continue
            if (worker.awaitingResponseSinceMs >= 0 && context.nowMs - worker.awaitingResponseSinceMs > RESPONSE_TIMEOUT_MS) worker.awaitingResponseSinceMs = -1
            if (worker.awaitingResponseSinceMs < 0 && context.nowMs >= worker.nextHeartbeatAtMs) sendHeartbeat(worker)
        }
    }

    private fun sendHeartbeat(worker: SimWorker) {
        val heartbeat = worker.heartbeat()
        val sentAtMs = context.nowMs
        worker.awaitingResponseSinceMs = sentAtMs
        worker.nextHeartbeatAtMs = sentAtMs + random.nextLong(750, 1_250)
        val receiver = receiverFor(worker)
        val outcome = random.nextInt(30)
        if (outcome == 0) return
        val travelMs = if (outcome == 1) random.nextLong(4_000, 30_000) else random.nextLong(1, 80)
        if (context.chance(copiedHeartbeatFraction)) copies.add(heartbeat)
        // Repeated heartbeats arrive 0.5 to 40 s late, which may exceed the worker lease, at the leader of that time; their responses are dropped.
        if (context.chance(0.1)) context.after(random.nextLong(500, 40_000)) { leaders.current?.let { processHeartbeat(it, heartbeat) } }
        context.after(travelMs) {
            val response = receiver?.let { processHeartbeat(it, heartbeat) } ?: return@after
            if (response !is HeartbeatResponse.Commands || random.nextInt(30) == 0 || worker.unreachable) return@after
            context.after(random.nextLong(1, 80)) { deliverResponse(worker, heartbeat, sentAtMs, response) }
        }
    }

    /** Chooses the leader for a heartbeat: a partitioned leader keeps the workers of zone `north`, and deposed leaders receive some of the others. */
    private fun receiverFor(worker: SimWorker): SimulatedLeader? {
        val partitioned = leaders.partitioned.firstOrNull()?.takeIf { worker.zone == "north" }
        return when {
            partitioned != null -> partitioned
            leaders.deposed.isNotEmpty() && context.chance(0.4) -> leaders.deposed.random(random)
            else -> leaders.current
        }
    }

    private fun deliverResponse(
        worker: SimWorker,
        heartbeat: Heartbeat,
        sentAtMs: Long,
        response: HeartbeatResponse.Commands,
    ) {
        if (worker.awaitingResponseSinceMs != sentAtMs || context.nowMs - sentAtMs > RESPONSE_TIMEOUT_MS) return
        worker.awaitingResponseSinceMs = -1
        worker.receiveResponse(response.term, response.commands, sentAtMs, heartbeat.incarnation)
        if (response.term < worker.term) worker.nextHeartbeatAtMs = context.nowMs + 500
    }

    private fun processHeartbeat(
        leader: SimulatedLeader,
        heartbeat: Heartbeat,
    ): HeartbeatResponse {
        val cancellationsToMs = if (context.defects.assumeWatermarkComplete) context.nowMs else leader.cancellations.watermark.upToMs()
        return leader.scheduler.heartbeat(heartbeat, leader.mayAct, context.nowMs, cancellationsToMs = cancellationsToMs)
    }

    /** Sends the direct command [call] of [leader] and passes it the response, or reports that the call is unanswered. */
    fun sendDirect(
        leader: SimulatedLeader,
        call: DirectCall,
    ) {
        val worker = cloud.worker(call.machine)
        val outcome = random.nextInt(12)
        val travelMs = if (outcome <= 1) random.nextLong(1_500, 40_000) else random.nextLong(1, 60)
        var response: Heartbeat? = null
        if (outcome != 2) context.after(travelMs) { response = deliverDirect(worker, call) }
        context.after(minOf(travelMs + random.nextLong(1, 60), DIRECT_TIMEOUT_MS)) {
            val received = response
            if (received != null && outcome > 3) {
                leader.scheduler.directCallResponded(call, received, context.nowMs)
                if (context.repeats(repeatedCallFraction)) repeat(worker, call)
            } else {
                leader.scheduler.directCallUnanswered(call, true, context.nowMs)
            }
        }
    }

    private fun repeat(
        worker: SimWorker,
        call: DirectCall,
    ) = context.after(context.repetitionDelayMs()) {
        repeatedCalls++
        deliverDirect(worker, call)
    }

    /** Executes [call] on [worker] and returns the response. A hung or unreachable worker executes it after it has recovered, and its response is lost. */
    private fun deliverDirect(
        worker: SimWorker,
        call: DirectCall,
    ): Heartbeat? {
        if (!worker.hung && !worker.unreachable) return worker.receiveCommands(call.term, call.incarnation, call.commands)
        context.after(maxOf(worker.hungUntilMs, worker.unreachableUntilMs) - context.nowMs + 1) {
            worker.receiveCommands(call.term, call.incarnation, call.commands)
        }
        return null
    }

    private companion object {
        /** Milliseconds that a worker waits for the response to a heartbeat. */
        const val RESPONSE_TIMEOUT_MS = 4_000L

        /** Milliseconds that a leader waits for the response to a direct command. */
        const val DIRECT_TIMEOUT_MS = 1_500L
    }
}
