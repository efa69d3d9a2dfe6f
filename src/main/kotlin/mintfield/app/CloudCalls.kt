package mintfield.app

import mintfield.core.CloudCall
import mintfield.core.fleet.FleetManager
import mintfield.io.cloud.CloudClient
import mintfield.io.cloud.CloudResult
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log

/** Carries out what the fleet manager asks of the cloud, and brings it the answers. */
class CloudCalls(
    private val loop: EventLoop,
    private val cloud: CloudClient,
    private val fleet: FleetManager,
) {
    suspend fun carryOut(call: CloudCall) {
        val why =
            when (call) {
                is CloudCall.Rent ->
                    when (val r = cloud.rent(call.intent)) {
                        is CloudResult.Ok -> return fleet.rented(call.intent, r.value, loop.nowMs())
                        CloudResult.NoCapacity -> return fleet.noCapacity(call.intent, loop.nowMs())
                        is CloudResult.Failed -> r.why
                    }

                is CloudCall.Return ->
                    when (val r = cloud.giveBack(call.machines)) {
                        is CloudResult.Ok -> return fleet.returned(call.machines, loop.nowMs())
                        CloudResult.NoCapacity -> "no capacity"
                        is CloudResult.Failed -> r.why
                    }

                is CloudCall.ListPage ->
                    when (val r = cloud.list(call.after)) {
                        is CloudResult.Ok -> return fleet.listed(r.value.first, r.value.second, loop.nowMs())
                        CloudResult.NoCapacity -> "no capacity"
                        is CloudResult.Failed -> r.why
                    }

                CloudCall.Types ->
                    when (val r = cloud.types()) {
                        is CloudResult.Ok -> return fleet.typesRead(r.value, loop.nowMs())
                        CloudResult.NoCapacity -> "no capacity"
                        is CloudResult.Failed -> r.why
                    }
            }
        Log.info("the cloud did not carry out ${call.javaClass.simpleName}: $why")
        fleet.failed(call, loop.nowMs())
    }
}
