package mintfield.app

import mintfield.app.peer.PeerHealth
import mintfield.app.replica.JobReplicator
import mintfield.io.loop.EventLoop

/** Determines whether the load balancer should route users to this controller. */
class Readiness(
    private val loop: EventLoop,
    private val replicator: JobReplicator,
    private val services: ExternalServices,
    private val health: PeerHealth,
) {
    /** Whether this controller is ready, or the reason why it is not. [text] is the reason in the response to the load balancer. */
    enum class State(
        val text: String,
    ) {
        READY("ready"),
        STARTING("starting"),
        REFUSED_ALONE("the state service refuses this node alone"),
        CUT_OFF("cut off from the state service and the other controllers"),
    }

    /** The current state. */
    fun state(): State {
        val isolation = health.isolation
        return when {
            !replicator.isLoaded || services.types.isEmpty() -> State.STARTING
            isolation.isRefusedAlone(loop.nowMs()) -> State.REFUSED_ALONE
            isolation.isCutOff(loop.nowMs()) -> State.CUT_OFF
            else -> State.READY
        }
    }
}
