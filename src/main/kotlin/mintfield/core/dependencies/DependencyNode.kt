package mintfield.core.dependencies

import mintfield.core.model.AcceptedJob

/** A job in a [DependencyGraph], which alone changes it. */
class DependencyNode internal constructor(
    val id: String,
) {
    /** Its record; null if it has ended or the record is not known here. */
    var job: AcceptedJob? = null
        internal set

    /** What is known of it as a predecessor of others. */
    var state = PredecessorState.UNRESOLVED
        internal set

    /** Whether it can never start, since a predecessor, direct or through others, is cancelled. */
    var cancelledByDependency = false
        internal set

    /** When it ended, time of day in milliseconds; 0 if that is not known. */
    internal var endedAtMs = 0L

    /** The jobs that it depends on directly. */
    internal val predecessors = ArrayList<DependencyNode>()

    /** How many of [predecessors] are not done. */
    internal var pendingPredecessors = 0

    internal val mutableSuccessors = LinkedHashSet<DependencyNode>()

    /** The unfinished jobs that depend on it directly. */
    val successors: Set<DependencyNode> get() = mutableSuccessors

    /** Whether it is to be run, so that the jobs that it depends on are needed. */
    val wanted: Boolean get() = job != null && !cancelledByDependency && state == PredecessorState.UNFINISHED
}
