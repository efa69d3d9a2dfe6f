package mintfield.app

import mintfield.app.peer.PeerHealth
import mintfield.app.replica.JobReplicator
import mintfield.io.loop.EventLoop

/** Whether the load balancer should send users to this controller. */
class Readiness(
    private val loop: EventLoop,
    private val replicator: JobReplicator,
    private val services: ExternalServices,
    private val health: PeerHealth,
) {
    /** Ready, or the reason why not; [text] is what the load balancer is told. */
    enum class State(
        val text: String,
    ) {
        READY("ready"),
        STARTING("starting"),
        REFUSED_ALONE("the state service refuses this node alone"),
        CUT_OFF("cut off from the state service and the other controllers"),
    }

    /** The state at this moment. */
    fun state(): State {
        val isolation = health.isolation
        return when {
            !replicator.loaded || services.types.isEmpty() -> State.STARTING
            isolation.isRefusedAlone(loop.nowMs()) -> State.REFUSED_ALONE
            isolation.isCutOff(loop.nowMs()) -> State.CUT_OFF
            else -> State.READY
        }
    }
}
