package mintfield.core.dependencies

import mintfield.core.jobs.KnownJob
import mintfield.core.model.AcceptedJob
import mintfield.core.model.FinalState
import mintfield.core.model.JobPhase

/** How a job stands that others depend on. */
enum class PredecessorState {
    /** Neither its record nor its final state is known here yet. */
    UNRESOLVED,

    /** It has a record of an unfinished job. */
    UNFINISHED,

    /** It is done, for ever. */
    DONE,

    /** Its user was told that it is cancelled, for ever. */
    CANCELLED,
}

/** Told what changes in a [DependencyGraph]. */
interface DependencyListener {
    /** All predecessors of [id] are done. */
    fun becameReady(id: String)

    /** A predecessor of [id], direct or through others, is cancelled. */
    fun dependencyCancelled(id: String)
}

/**
 * Which unfinished jobs depend on which others, and how those stand. It holds the jobs that have predecessors and their direct
 * predecessors; a job that depends on nothing and that nothing depends on costs nothing here.
 *
 * Whether a job may start follows from the recorded final states of its predecessors alone. These never change, so whoever
 * computes it from them, now or after a change of leader, gets the same answer, and it is not recorded again.
 */
class DependencyGraph(
    /** What is known of a job when it is first named as a predecessor. */
    private val known: (String) -> KnownJob?,
) {
    /** A job in the graph. */
    class Node internal constructor(
        val id: String,
    ) {
        /** Its record, while it is unfinished. */
        var job: AcceptedJob? = null
            internal set

        var state = PredecessorState.UNRESOLVED
            internal set

        /** When it ended, time of day in milliseconds; 0 if that is not known. */
        internal var endedAtMs = 0L
        internal val predecessors = ArrayList<Node>()
        internal val successorNodes = LinkedHashSet<Node>()

        /** How many predecessors are not done. */
        internal var pendingPredecessors = 0

        /** Whether it can never start, since a predecessor, direct or through others, is cancelled. */
        var cancelledByDependency = false
            internal set

        /** The unfinished jobs that depend on it directly. */
        val successors: Set<Node> get() = successorNodes

        /** Whether it still counts for the jobs that it depends on. */
        val wanted: Boolean get() = job != null && !cancelledByDependency && state == PredecessorState.UNFINISHED

        internal val final: Boolean get() = state == PredecessorState.DONE || state == PredecessorState.CANCELLED
    }

    private val nodes = LinkedHashMap<String, Node>()
    private val unresolvedIds = LinkedHashSet<String>()

    var listener: DependencyListener? = null

    /** Rises with each change. */
    var version = 0L
        private set

    /** Predecessors of which it is not known whether they are unfinished, done or cancelled. */
    val unresolved: Set<String> get() = unresolvedIds

    /** All jobs in the graph. */
    val all: Collection<Node> get() = nodes.values

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

    /** The unresolved ones among the predecessors of [id], direct and through others. */
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

    /** The record of an unfinished [job] was read or written. */
    fun written(job: AcceptedJob) {
        val id = job.spec.id
        if (job.spec.predecessors.isEmpty() && id !in nodes) return
        version++
        val node = nodes.getOrPut(id) { Node(id) }
        node.job = job
        if (node.state == PredecessorState.UNRESOLVED) change(node, PredecessorState.UNFINISHED)
        if (node.predecessors.isEmpty()) link(node, job.spec.predecessors)
        if (job.cancelled) change(node, PredecessorState.CANCELLED)
    }

    private fun link(
        node: Node,
        predecessors: List<String>,
    ) {
        for (id in predecessors.distinct()) {
            if (id == node.id) continue
            val predecessor = nodes[id] ?: predecessor(id)
            node.predecessors.add(predecessor)
            predecessor.successorNodes.add(node)
            if (predecessor.state != PredecessorState.DONE) node.pendingPredecessors++
        }
        if (node.predecessors.any { it.state == PredecessorState.CANCELLED || it.cancelledByDependency }) cascadeCancellation(node)
    }

    private fun predecessor(id: String): Node {
        val node = Node(id)
        nodes[id] = node
        when (val found = known(id)) {
            is KnownJob.Ended -> take(node, found.state)
            is KnownJob.Live -> {
                node.job = found.job
                node.state = if (found.job.cancelled) PredecessorState.CANCELLED else PredecessorState.UNFINISHED
            }
            KnownJob.Unreadable -> node.state = PredecessorState.UNFINISHED
            null -> unresolvedIds.add(id)
        }
        return node
    }

    private fun take(
        node: Node,
        final: FinalState,
    ) {
        node.state = if (final.phase == JobPhase.DONE) PredecessorState.DONE else PredecessorState.CANCELLED
        node.endedAtMs = final.endedAtMs
    }

    /** The record of the job [id] is gone: it has ended, whether or not its final state is known here. */
    fun removed(id: String) {
        val node = nodes[id] ?: return
        version++
        node.job = null
        for (predecessor in node.predecessors) {
            predecessor.successorNodes.remove(node)
            dropIfUnused(predecessor)
        }
        node.predecessors.clear()
        node.pendingPredecessors = 0
        if (!node.final) change(node, PredecessorState.UNRESOLVED)
        dropIfUnused(node)
    }

    /** The job [id] has the final state [final]. */
    fun ended(
        id: String,
        final: FinalState,
    ) {
        val node = nodes[id] ?: return
        if (node.final) return
        version++
        node.endedAtMs = final.endedAtMs
        change(node, if (final.phase == JobPhase.DONE) PredecessorState.DONE else PredecessorState.CANCELLED)
    }

    /** There is neither a record nor a final state of [id], which was accepted once: its successors wait until there is. */
    fun unknown(id: String) {
        val node = nodes[id] ?: return
        if (node.state == PredecessorState.UNRESOLVED) change(node, PredecessorState.UNFINISHED)
    }

    /** The only place where the state of a node in the graph changes; final states stay. */
    private fun change(
        node: Node,
        next: PredecessorState,
    ) {
        if (node.final || node.state == next) return
        node.state = next
        if (next == PredecessorState.UNRESOLVED) unresolvedIds.add(node.id) else unresolvedIds.remove(node.id)
        when (next) {
            PredecessorState.DONE -> node.successorNodes.toList().forEach(::predecessorDone)
            PredecessorState.CANCELLED -> node.successorNodes.toList().forEach(::cascadeCancellation)
            PredecessorState.UNRESOLVED, PredecessorState.UNFINISHED -> {}
        }
    }

    private fun predecessorDone(node: Node) {
        node.pendingPredecessors--
        if (node.pendingPredecessors == 0 && !node.cancelledByDependency) listener?.becameReady(node.id)
    }

    /** Step by step, not by recursion: a chain may be long. */
    private fun cascadeCancellation(first: Node) {
        val queue = ArrayDeque(listOf(first))
        while (queue.isNotEmpty()) {
            val node = queue.removeFirst()
            if (node.cancelledByDependency) continue
            node.cancelledByDependency = true
            listener?.dependencyCancelled(node.id)
            queue.addAll(node.successorNodes)
        }
    }

    private fun dropIfUnused(node: Node) {
        if (node.successorNodes.isNotEmpty() || node.predecessors.isNotEmpty()) return
        nodes.remove(node.id)
        unresolvedIds.remove(node.id)
    }
}
