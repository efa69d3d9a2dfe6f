package mintfield.sim

import mintfield.core.DirectCall
import mintfield.core.HeartbeatResponse
import mintfield.core.model.Heartbeat

/** Carries heartbeats and direct commands between workers and leaders; messages are lost, come late, or come again. */
class SimulatedNetwork(
    private val context: SimulationContext,
    private val leaders: SimulatedLeaders,
    private val cloud: SimulatedCloud,
) {
    private val random get() = context.random
    private val copies = ArrayList<Heartbeat>()

    /** Fraction of the heartbeats of which a copy is kept until the next leader begins. */
    var copiedHeartbeatShare = 0.0

    /** Delivers the kept copies of heartbeats to [leader], which has just been elected. */
    fun deliverCopies(leader: SimulatedLeader) {
        copies.forEach { answer(leader, it) }
        copies.clear()
    }

    /** Lets time pass on all workers and sends the heartbeats that are due. */
    fun stepWorkers() {
        for (worker in cloud.workers) {
            worker.step(context.nowMs)
            if (!worker.alive || worker.hung || worker.losesHeartbeats) continue
            if (worker.awaitingAnswerSinceMs >= 0 && context.nowMs - worker.awaitingAnswerSinceMs > ANSWER_TIMEOUT_MS) worker.awaitingAnswerSinceMs = -1
            if (worker.awaitingAnswerSinceMs < 0 && context.nowMs >= worker.nextHeartbeatAtMs) sendHeartbeat(worker)
        }
    }

    private fun sendHeartbeat(worker: SimWorker) {
        val heartbeat = worker.heartbeat()
        val sentAtMs = context.nowMs
        worker.awaitingAnswerSinceMs = sentAtMs
        worker.nextHeartbeatAtMs = sentAtMs + random.nextLong(750, 1_250)
        val receiver = receiverFor(worker)
        val fate = random.nextInt(30)
        if (fate == 0) return
        val travelMs = if (fate == 1) random.nextLong(4_000, 30_000) else random.nextLong(1, 80)
        if (context.chance(copiedHeartbeatShare)) copies.add(heartbeat)
        // Copies come late, by seconds to well over a lease, to whoever leads by then; nobody waits for their answers.
        if (context.chance(0.1)) context.after(random.nextLong(500, 40_000)) { leaders.current?.let { answer(it, heartbeat) } }
        context.after(travelMs) {
            val answer = receiver?.let { answer(it, heartbeat) } ?: return@after
            if (answer !is HeartbeatResponse.Commands || random.nextInt(30) == 0 || worker.unreachable) return@after
            context.after(random.nextLong(1, 80)) { deliverAnswer(worker, heartbeat, sentAtMs, answer) }
        }
    }

    /** A deposed leader goes on answering for a while; one that is partitioned keeps the workers of its zone. */
    private fun receiverFor(worker: SimWorker): SimulatedLeader? {
        val partitioned = leaders.partitioned.firstOrNull()?.takeIf { worker.zone == "north" }
        return when {
            partitioned != null -> partitioned
            leaders.deposed.isNotEmpty() && context.chance(0.4) -> leaders.deposed.random(random)
            else -> leaders.current
        }
    }

    private fun deliverAnswer(
        worker: SimWorker,
        heartbeat: Heartbeat,
        sentAtMs: Long,
        answer: HeartbeatResponse.Commands,
    ) {
        if (worker.awaitingAnswerSinceMs != sentAtMs || context.nowMs - sentAtMs > ANSWER_TIMEOUT_MS) return
        worker.awaitingAnswerSinceMs = -1
        worker.answered(answer.term, answer.commands, sentAtMs, heartbeat.incarnation)
        if (answer.term < worker.term) worker.nextHeartbeatAtMs = context.nowMs + 500
    }

    private fun answer(
        leader: SimulatedLeader,
        heartbeat: Heartbeat,
    ): HeartbeatResponse {
        val cancellationsToMs = if (context.faults.assumeWatermarkComplete) context.nowMs else leader.cancellationWatermark.upToMs()
        return leader.scheduler.heartbeat(heartbeat, leader.mayAct, context.nowMs, cancellationsToMs = cancellationsToMs)
    }

    /** Sends the direct command [call] of [leader] and gives it the answer, or tells it that none came. */
    fun sendDirect(
        leader: SimulatedLeader,
        call: DirectCall,
    ) {
        val worker = cloud.worker(call.machine)
        val fate = random.nextInt(12)
        val travelMs = if (fate <= 1) random.nextLong(1_500, 40_000) else random.nextLong(1, 60)
        var answer: Heartbeat? = null
        if (fate != 2) context.after(travelMs) { answer = deliverDirect(worker, call) }
        context.after(minOf(travelMs + random.nextLong(1, 60), DIRECT_TIMEOUT_MS)) {
            val received = answer
            if (received != null && fate > 3) {
                leader.scheduler.directCallResponded(call, received, context.nowMs)
            } else {
                leader.scheduler.directCallUnanswered(call, true, context.nowMs)
            }
        }
    }

    /** A worker that hangs or is unreachable carries out [call] when that is over, and its answer is lost. */
    private fun deliverDirect(
        worker: SimWorker,
        call: DirectCall,
    ): Heartbeat? {
        if (!worker.hung && !worker.unreachable) return worker.commanded(call.term, call.incarnation, call.commands)
        context.after(maxOf(worker.hungUntilMs, worker.unreachableUntilMs) - context.nowMs + 1) {
            worker.commanded(call.term, call.incarnation, call.commands)
        }
        return null
    }

    private companion object {
        /** Milliseconds after which a worker gives up waiting for the answer to a heartbeat. */
        const val ANSWER_TIMEOUT_MS = 4_000L

        /** Milliseconds after which a leader gives up waiting for the answer to a direct command. */
        const val DIRECT_TIMEOUT_MS = 1_500L
    }
}
