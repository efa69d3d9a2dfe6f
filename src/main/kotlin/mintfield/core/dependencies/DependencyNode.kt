package mintfield.core.dependencies

import mintfield.core.model.AcceptedJob

/** A job in a [DependencyGraph]. Only the graph modifies it. */
class DependencyNode internal constructor(
    val id: String,
) {
    /** The record of the job; null if the job has ended or its record is unknown here. */
    var job: AcceptedJob? = null
        internal set

    /** The state of the job as a predecessor of others. */
    var state = PredecessorState.UNRESOLVED
        internal set

    /** Whether the job can never start because a direct or transitive predecessor is cancelled. */
    var cancelledByDependency = false
        internal set

    /** Wall-clock time in milliseconds at which the job ended; 0 if it is unknown. */
    internal var endedAtMs = 0L

    /** The jobs on which the job depends directly. */
    internal val predecessors = ArrayList<DependencyNode>()

    /** Number of [predecessors] that are not done. */
    internal var pendingPredecessors = 0

    internal val mutableSuccessors = LinkedHashSet<DependencyNode>()

    /** The unfinished jobs that depend directly on the job. */
    val successors: Set<DependencyNode> get() = mutableSuccessors

    /** Whether the job is still expected to run to its end, so that its predecessors are needed. */
    val isActive: Boolean get() = job != null && !cancelledByDependency && state == PredecessorState.UNFINISHED
}
