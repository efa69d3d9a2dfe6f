package mintfield.core.dependencies

import mintfield.core.jobs.KnownJob
import mintfield.core.model.AcceptedJob
import mintfield.core.model.FinalState
import mintfield.core.model.JobPhase

/**
 * The graph of the unfinished jobs that depend on others. It holds the jobs with predecessors and their direct predecessors; a job that
 * depends on nothing and that nothing depends on takes no space.
 *
 * Whether a job may start follows from the recorded final states of its predecessors alone. These never change, so every leader that
 * computes it gets the same result, and it need not be recorded. The graph is not thread-safe.
 */
class DependencyGraph(
    /** What is known of a job when it is first named as a predecessor; null if nothing is. */
    private val known: (String) -> KnownJob?,
) {
    private val nodes = LinkedHashMap<String, DependencyNode>()
    private val unresolvedIds = LinkedHashSet<String>()

    /** Is notified of changes; null for nobody. */
    var listener: DependencyListener? = null

    /** Increases with each change of the graph. */
    var version = 0L
        private set

    /** The predecessors of which it is not known whether they are unfinished, done or cancelled. */
    val unresolved: Set<String> get() = unresolvedIds

    /** All jobs in the graph. */
    val all: Collection<DependencyNode> get() = nodes.values

    /** Whether all predecessors of [id] are known to be done. */
    fun isReady(id: String): Boolean = nodes[id]?.let { it.pendingPredecessors == 0 && !it.cancelledByDependency } ?: true

    /** Whether a predecessor of [id], direct or through others, is known to be cancelled. */
    fun isCancelledByDependency(id: String): Boolean = nodes[id]?.cancelledByDependency ?: false

    /** When the last predecessor of [id] was done, time of day in milliseconds; 0 if that is not known or it has none. */
    fun readySinceMs(id: String): Long = nodes[id]?.predecessors?.maxOfOrNull { it.endedAtMs } ?: 0L

    /** The direct predecessors of [id] that are not done. */
    fun pendingPredecessorsOf(id: String): List<String> =
        nodes[id]
            ?.predecessors
            .orEmpty()
            .filter { it.state != PredecessorState.DONE }
            .map { it.id }

    /** The unresolved ones among the predecessors of [id], direct and through others, nearest first. */
    fun unresolvedBefore(id: String): List<String> {
        if (unresolvedIds.isEmpty()) return emptyList()
        val start = nodes[id] ?: return emptyList()
        val seen = hashSetOf(start)
        val queue = ArrayDeque(start.predecessors)
        val found = ArrayList<String>()
        while (queue.isNotEmpty()) {
            val node = queue.removeFirst()
            if (!seen.add(node)) continue
            if (node.state == PredecessorState.UNRESOLVED) found.add(node.id)
            queue.addAll(node.predecessors)
        }
        return found
    }

    /** The record of the unfinished [job] is new or has changed. */
    fun written(job: AcceptedJob) {
        val id = job.spec.id
        if (job.spec.predecessors.isEmpty() && id !in nodes) return
        version++
        val node = nodes.getOrPut(id) { DependencyNode(id) }
        node.job = job
        if (node.state == PredecessorState.UNRESOLVED) moveTo(node, PredecessorState.UNFINISHED)
        if (node.predecessors.isEmpty()) addPredecessors(node, job.spec.predecessors)
        if (job.cancelled) moveTo(node, PredecessorState.CANCELLED)
    }

    private fun addPredecessors(
        node: DependencyNode,
        ids: List<String>,
    ) {
        for (id in ids.distinct()) {
            if (id == node.id) continue
            val predecessor = nodes[id] ?: addPredecessor(id)
            node.predecessors.add(predecessor)
            predecessor.mutableSuccessors.add(node)
            if (predecessor.state != PredecessorState.DONE) node.pendingPredecessors++
        }
        if (node.predecessors.any { it.state == PredecessorState.CANCELLED || it.cancelledByDependency }) cascadeCancellation(node)
    }

    /** Adds a node with the state that is known of it. It has no successors yet, so none has to be notified. */
    private fun addPredecessor(id: String): DependencyNode {
        val node = DependencyNode(id)
        nodes[id] = node
        when (val found = known(id)) {
            is KnownJob.Ended -> {
                node.state = stateOf(found.state)
                node.endedAtMs = found.state.endedAtMs
            }
            is KnownJob.Live -> {
                node.job = found.job
                node.state = if (found.job.cancelled) PredecessorState.CANCELLED else PredecessorState.UNFINISHED
            }
            KnownJob.Unreadable -> node.state = PredecessorState.UNFINISHED
            null -> unresolvedIds.add(id)
        }
        return node
    }

    private fun stateOf(final: FinalState): PredecessorState = if (final.phase == JobPhase.DONE) PredecessorState.DONE else PredecessorState.CANCELLED

    /** The record of job [id] was deleted: the job has ended, whether or not its final state is known here. */
    fun removed(id: String) {
        val node = nodes[id] ?: return
        version++
        node.job = null
        for (predecessor in node.predecessors) {
            predecessor.mutableSuccessors.remove(node)
            dropIfUnused(predecessor)
        }
        node.predecessors.clear()
        node.pendingPredecessors = 0
        if (!node.state.isFinal) moveTo(node, PredecessorState.UNRESOLVED)
        dropIfUnused(node)
    }

    /** Job [id] has ended in the state [final]. */
    fun ended(
        id: String,
        final: FinalState,
    ) {
        val node = nodes[id] ?: return
        if (node.state.isFinal) return
        version++
        node.endedAtMs = final.endedAtMs
        moveTo(node, stateOf(final))
    }

    /** Job [id] has neither a record nor a final state although it was accepted: its successors wait until there is one. */
    fun unknown(id: String) {
        val node = nodes[id] ?: return
        if (node.state == PredecessorState.UNRESOLVED) moveTo(node, PredecessorState.UNFINISHED)
    }

    /** The only change of the state of a node that may have successors. Final states stay. */
    private fun moveTo(
        node: DependencyNode,
        next: PredecessorState,
    ) {
        if (node.state.isFinal || node.state == next) return
        node.state = next
        if (next == PredecessorState.UNRESOLVED) unresolvedIds.add(node.id) else unresolvedIds.remove(node.id)
        when (next) {
            PredecessorState.DONE -> node.successors.toList().forEach(::predecessorDone)
            PredecessorState.CANCELLED -> node.successors.toList().forEach(::cascadeCancellation)
            PredecessorState.UNRESOLVED, PredecessorState.UNFINISHED -> {}
        }
    }

    private fun predecessorDone(node: DependencyNode) {
        node.pendingPredecessors--
        if (node.pendingPredecessors == 0 && !node.cancelledByDependency) listener?.becameReady(node.id)
    }

    /** Marks [first] and all its successors, by a queue, as a chain may be too long for recursion. */
    private fun cascadeCancellation(first: DependencyNode) {
        val queue = ArrayDeque(listOf(first))
        while (queue.isNotEmpty()) {
            val node = queue.removeFirst()
            if (node.cancelledByDependency) continue
            node.cancelledByDependency = true
            listener?.dependencyCancelled(node.id)
            queue.addAll(node.successors)
        }
    }

    private fun dropIfUnused(node: DependencyNode) {
        if (node.successors.isNotEmpty() || node.predecessors.isNotEmpty()) return
        nodes.remove(node.id)
        unresolvedIds.remove(node.id)
    }
}
