package mintfield.app.leader

import mintfield.core.CloudCall
import mintfield.core.fleet.FleetManager
import mintfield.io.cloud.CloudClient
import mintfield.io.cloud.CloudResult
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log

/** Carries out what the fleet manager asks of the cloud, and brings it the answers. */
class CloudCallExecutor(
    private val loop: EventLoop,
    private val cloud: CloudClient,
    private val fleet: FleetManager,
) {
    suspend fun carryOut(call: CloudCall) {
        val reason =
            when (call) {
                is CloudCall.Provision ->
                    when (val r = cloud.provision(call.intent)) {
                        is CloudResult.Ok -> return fleet.provisioned(call.intent, r.value, loop.nowMs())
                        CloudResult.NoCapacity -> return fleet.noCapacity(call.intent, loop.nowMs())
                        is CloudResult.Failed -> r.reason
                    }

                is CloudCall.Release ->
                    when (val r = cloud.release(call.machines)) {
                        is CloudResult.Ok -> return fleet.released(call.machines, loop.nowMs())
                        CloudResult.NoCapacity -> "no capacity"
                        is CloudResult.Failed -> r.reason
                    }

                is CloudCall.ListPage ->
                    when (val r = cloud.list(call.after)) {
                        is CloudResult.Ok -> return fleet.listed(r.value.machines, r.value.hasNext, loop.nowMs())
                        CloudResult.NoCapacity -> "no capacity"
                        is CloudResult.Failed -> r.reason
                    }

                CloudCall.Types ->
                    when (val r = cloud.types()) {
                        is CloudResult.Ok -> return fleet.typesRead(r.value, loop.nowMs())
                        CloudResult.NoCapacity -> "no capacity"
                        is CloudResult.Failed -> r.reason
                    }
            }
        Log.info("the cloud did not carry out ${call.javaClass.simpleName}: $reason")
        fleet.failed(call, loop.nowMs())
    }
}
