package mintfield.sim

import mintfield.core.model.TaskId

/** The current leader, deposed leaders that still act, and leaders partitioned from the store and their peers. */
class SimulatedLeaders {
    /** The holder of the leader key; null from a crash until the next election. */
    var current: SimulatedLeader? = null

    /** Deposed leaders that have not noticed it yet, oldest first. */
    val deposed = ArrayList<SimulatedLeader>()

    /** Leaders that reach neither the store nor a peer. */
    val partitioned = HashSet<SimulatedLeader>()

    /** All active leaders; the holder of the leader key is last. */
    fun all(): List<SimulatedLeader> = deposed + listOfNotNull(current)

    /** The active leaders of the controller [name], oldest first. */
    fun at(name: String): List<SimulatedLeader> = all().filter { it.controller == name }

    /** Whether [leader] is the holder of the leader key or has not noticed that it was deposed. */
    fun isActive(leader: SimulatedLeader): Boolean = leader === current || leader in deposed

    /** The log lines of all active leaders that mention the job of [task], for the message of a [RuleViolation]. */
    fun logOf(task: TaskId): String = all().joinToString("\n") { leader -> leader.log.filter { task.job in it }.joinToString("\n") }
}
