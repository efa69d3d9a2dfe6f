package mintfield.sim

import mintfield.core.Scheduler
import mintfield.core.dependencies.DependencyGraph
import mintfield.core.dependencies.DependencyListener
import mintfield.core.jobs.KnownJob
import mintfield.core.leadership.CancellationWatermark
import mintfield.core.model.Settings

/** A controller that leads, or that led and has not noticed yet that another one does. */
class SimulatedLeader(
    private val context: SimulationContext,
    settings: Settings,
    term: Long,
    peers: List<String>,
    findJob: (String) -> KnownJob?,
) {
    /** Log lines of its scheduler, each after the simulated time in milliseconds. */
    val log = ArrayDeque<String>()
    val dependencies = DependencyGraph(findJob)
    val scheduler = Scheduler(settings, term, dependencies = dependencies) { log.addLast("${context.nowMs} $it") }
    val cancellationWatermark = CancellationWatermark(peers)

    /** A transaction is under way; the next one waits for its answer. */
    var committing = false

    /** When the store last renewed its lease, in milliseconds of simulated time. */
    var renewedAtMs = 0L

    /** Whether its lease holds. */
    val mayAct: Boolean get() = context.nowMs - renewedAtMs < LEASE_MS

    init {
        dependencies.listener =
            object : DependencyListener {
                override fun becameReady(id: String) = scheduler.becameReady(id, context.nowMs)

                override fun dependencyCancelled(id: String) {
                    if (!context.faults.ignoreCancelledPredecessors) scheduler.dependencyCancelled(id)
                }
            }
    }

    private companion object {
        /** Milliseconds for which a leader may act after a renewal. */
        const val LEASE_MS = 3_300L
    }
}
