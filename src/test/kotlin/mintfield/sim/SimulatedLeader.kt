package mintfield.sim

import mintfield.core.Scheduler
import mintfield.core.dependencies.DependencyGraph
import mintfield.core.dependencies.DependencyListener
import mintfield.core.jobs.KnownJob
import mintfield.core.leadership.CancellationWatermark
import mintfield.core.leadership.ConfirmedCancellations
import mintfield.core.model.Settings

/** A controller that is the leader, or that was deposed and has not noticed it yet. */
class SimulatedLeader(
    private val context: SimulationContext,
    settings: Settings,
    term: Long,
    /** Name of the controller that leads. */
    val controller: String,
    controllers: SimulatedControllers,
    leaders: SimulatedLeaders,
    findJob: (String) -> KnownJob?,
) {
    /** Log lines of the scheduler, each prefixed with the simulated time in milliseconds. */
    val log = ArrayDeque<String>()
    val dependencies = DependencyGraph(findJob)
    val scheduler = Scheduler(settings, term, dependencies = dependencies) { log.addLast("${context.nowMs} $it") }

    /** The cancellations that reach the leaders of this controller. */
    val cancellations =
        ConfirmedCancellations(controllers.logOf(controller), CancellationWatermark(SimulatedControllers.peersOf(controller))) { id ->
            leaders.at(controller).forEach { it.scheduler.cancellationConfirmed(id, context.nowMs) }
        }

    /** Whether a transaction is in flight; the next one waits for its result. */
    var committing = false

    /** When the leader last renewed its lease, in milliseconds of simulated time. */
    var renewedAtMs = 0L

    /** Whether the lease is valid. */
    val mayAct: Boolean get() = context.nowMs - renewedAtMs < LEASE_MS

    init {
        dependencies.listener =
            object : DependencyListener {
                override fun becameReady(id: String) = scheduler.becameReady(id, context.nowMs)

                override fun dependencyCancelled(id: String) {
                    if (!context.defects.ignoreCancelledPredecessors) scheduler.dependencyCancelled(id)
                }
            }
    }

    private companion object {
        /** Milliseconds after a renewal in which the lease is valid. */
        const val LEASE_MS = 3_300L
    }
}
