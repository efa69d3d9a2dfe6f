package mintfield.app.leader

import kotlinx.coroutines.delay
import mintfield.core.CloudCall
import mintfield.core.Scheduler
import mintfield.io.cloud.CloudClient
import mintfield.io.cloud.CloudResult
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log

/** Executes the scheduler's cloud calls, one at a time, and reports the results to the fleet manager. */
class CloudCallExecutor(
    private val loop: EventLoop,
    private val cloud: CloudClient,
    private val scheduler: Scheduler,
    private val leadership: Leadership,
    /** Called after each call, whether it succeeded or failed. */
    private val onCallCompleted: () -> Unit,
) {
    private val fleet = scheduler.fleet

    /** Executes pending calls while the leader's lease holds, until cancelled. */
    suspend fun run() {
        while (true) {
            val call = if (leadership.mayAct()) scheduler.cloudCall(loop.nowMs()) else null
            if (call == null) {
                delay(IDLE_WAIT_MS)
                continue
            }
            execute(call)
            onCallCompleted()
        }
    }

    private suspend fun execute(call: CloudCall) {
        when (call) {
            is CloudCall.Provision -> provision(call)
            is CloudCall.Release -> handleResult(call, cloud.release(call.machines)) { fleet.released(call.machines, loop.nowMs()) }
            is CloudCall.ListPage -> handleResult(call, cloud.list(call.after)) { fleet.machinesListed(it.machines, it.hasNext, loop.nowMs()) }
            CloudCall.Types -> handleResult(call, cloud.types()) { fleet.machineTypesRead(it, loop.nowMs()) }
        }
    }

    private suspend fun provision(call: CloudCall.Provision) {
        val result = cloud.provision(call.intent)
        if (result == CloudResult.NoCapacity) return fleet.noCapacity(call.intent, loop.nowMs())
        handleResult(call, result) { fleet.provisioned(call.intent, it, loop.nowMs()) }
    }

    private inline fun <T> handleResult(
        call: CloudCall,
        result: CloudResult<T>,
        onSuccess: (T) -> Unit,
    ) = when (result) {
        is CloudResult.Ok -> onSuccess(result.value)
        CloudResult.NoCapacity -> failed(call, "no capacity")
        is CloudResult.Failed -> failed(call, result.reason)
    }

    private fun failed(
        call: CloudCall,
        reason: String,
    ) {
        Log.info("cloud call ${call.javaClass.simpleName} failed: $reason")
        fleet.failed(call, loop.nowMs())
    }

    private companion object {
        const val IDLE_WAIT_MS = 100L
    }
}
