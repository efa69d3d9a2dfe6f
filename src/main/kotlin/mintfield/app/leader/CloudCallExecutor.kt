package mintfield.app.leader

import kotlinx.coroutines.delay
import mintfield.core.CloudCall
import mintfield.core.Scheduler
import mintfield.io.cloud.CloudClient
import mintfield.io.cloud.CloudResult
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log

/** Carries out the scheduler's requests to the cloud, one at a time, and reports the results to the fleet manager. */
class CloudCallExecutor(
    private val loop: EventLoop,
    private val cloud: CloudClient,
    private val scheduler: Scheduler,
    private val leadership: Leadership,
    /** Called after each request. */
    private val afterEach: () -> Unit,
) {
    private val fleet = scheduler.fleet

    /** Carries out requests whenever there are any and the lease holds, until cancelled. */
    suspend fun run() {
        while (true) {
            val call = if (leadership.mayAct()) scheduler.cloudCall(loop.nowMs()) else null
            if (call == null) {
                delay(IDLE_WAIT_MS)
                continue
            }
            carryOut(call)
            afterEach()
        }
    }

    private suspend fun carryOut(call: CloudCall) {
        when (call) {
            is CloudCall.Provision -> provision(call)
            is CloudCall.Release -> settle(call, cloud.release(call.machines)) { fleet.released(call.machines, loop.nowMs()) }
            is CloudCall.ListPage -> settle(call, cloud.list(call.after)) { fleet.listed(it.machines, it.hasNext, loop.nowMs()) }
            CloudCall.Types -> settle(call, cloud.types()) { fleet.typesRead(it, loop.nowMs()) }
        }
    }

    private suspend fun provision(call: CloudCall.Provision) {
        val result = cloud.provision(call.intent)
        if (result == CloudResult.NoCapacity) return fleet.noCapacity(call.intent, loop.nowMs())
        settle(call, result) { fleet.provisioned(call.intent, it, loop.nowMs()) }
    }

    private inline fun <T> settle(
        call: CloudCall,
        result: CloudResult<T>,
        succeeded: (T) -> Unit,
    ) = when (result) {
        is CloudResult.Ok -> succeeded(result.value)
        CloudResult.NoCapacity -> failed(call, "no capacity")
        is CloudResult.Failed -> failed(call, result.reason)
    }

    private fun failed(
        call: CloudCall,
        reason: String,
    ) {
        Log.info("the cloud did not carry out ${call.javaClass.simpleName}: $reason")
        fleet.failed(call, loop.nowMs())
    }

    private companion object {
        const val IDLE_WAIT_MS = 100L
    }
}
