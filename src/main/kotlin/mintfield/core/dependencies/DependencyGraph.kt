package mintfield.core.dependencies

import mintfield.core.jobs.KnownJob
import mintfield.core.model.AcceptedJob
import mintfield.core.model.FinalState
import mintfield.core.model.JobPhase

/**
 * Graph of the dependencies of unfinished jobs. It contains the jobs with predecessors and their direct predecessors, but no job without
 * dependencies in either direction.
 *
 * Whether a job may start depends only on the recorded final states of its predecessors. Final states never change, so every leader
 * computes the same result, and readiness need not be recorded. The graph is not thread-safe.
 */
class DependencyGraph(
    /** Looks up a job by its id when the job is first named as a predecessor; returns null if nothing is known of it. */
    private val lookUpJob: (String) -> KnownJob?,
) {
    private val nodes = LinkedHashMap<String, DependencyNode>()
    private val unresolvedIds = LinkedHashSet<String>()

    /** The listener that is notified of changes; null for none. */
    var listener: DependencyListener? = null

    /** Number of changes of the graph, which shows whether results computed from it are outdated. */
    var version = 0L
        private set

    /** Ids of the predecessors of which it is unknown whether they are unfinished, done or cancelled. */
    val unresolved: Set<String> get() = unresolvedIds

    /** All jobs in the graph, including those that only are predecessors of others. */
    val all: Collection<DependencyNode> get() = nodes.values

    /** Whether all predecessors of [id] are known to be done. */
    fun isReady(id: String): Boolean = nodes[id]?.let { it.pendingPredecessors == 0 && !it.cancelledByDependency } ?: true

    /** Whether a direct or transitive predecessor of [id] is known to be cancelled. */
    fun isCancelledByDependency(id: String): Boolean = nodes[id]?.cancelledByDependency ?: false

    /** Wall-clock time in milliseconds at which the last predecessor of [id] was done; 0 if it is unknown or the job has no predecessors. */
    fun readySinceMs(id: String): Long = nodes[id]?.predecessors?.maxOfOrNull { it.endedAtMs } ?: 0L

    /** Ids of the direct predecessors of [id] that are not done. */
    fun pendingPredecessorsOf(id: String): List<String> =
        nodes[id]
            ?.predecessors
            .orEmpty()
            .filter { it.state != PredecessorState.DONE }
            .map { it.id }

    /** Ids of the unresolved predecessors of [id], direct and transitive, the nearest first. */
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

    /** Handles a new or changed record of the unfinished [job]. */
    fun onRecordWritten(job: AcceptedJob) {
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

    /** Adds a node with its known state. The node has no successors yet, so that none has to be notified. */
    private fun addPredecessor(id: String): DependencyNode {
        val node = DependencyNode(id)
        nodes[id] = node
        when (val found = lookUpJob(id)) {
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

    /** Handles the deletion of the record of job [id]: the job has ended, whether or not its final state is known here. */
    fun onRecordRemoved(id: String) {
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

    /** Handles the end of job [id] in the state [final]. */
    fun onJobEnded(
        id: String,
        final: FinalState,
    ) {
        val node = nodes[id] ?: return
        if (node.state.isFinal) return
        version++
        node.endedAtMs = final.endedAtMs
        moveTo(node, stateOf(final))
    }

    /** Handles an accepted job [id] that has neither a record nor a final state: its successors wait until either is found. */
    fun recordMissing(id: String) {
        val node = nodes[id] ?: return
        if (node.state == PredecessorState.UNRESOLVED) moveTo(node, PredecessorState.UNFINISHED)
    }

    /** Changes the state of a node that may have successors, and updates the successors. Has no effect on a node in a final state. */
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

    /** Marks [first] and all its direct and transitive successors as cancelled. Uses a queue, as a chain may be too long for recursion. */
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
