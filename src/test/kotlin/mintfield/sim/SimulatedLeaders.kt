package mintfield.sim

import mintfield.core.model.TaskId

/** Who leads, who led and still believes to, and who is cut off from the store and its peers. */
class SimulatedLeaders {
    /** The holder of the leader key; null between a crash and the next election. */
    var current: SimulatedLeader? = null

    /** Deposed leaders that have not noticed it yet, oldest first. */
    val deposed = ArrayList<SimulatedLeader>()

    /** Leaders that reach neither the store nor a peer. */
    val partitioned = HashSet<SimulatedLeader>()

    /** All that act as leaders, the rightful one last. */
    fun all(): List<SimulatedLeader> = deposed + listOfNotNull(current)

    /** Whether [leader] still acts as one. */
    fun isActive(leader: SimulatedLeader): Boolean = leader === current || leader in deposed

    /** The log lines of all leaders that name the job of [task], for the message of a broken rule. */
    fun history(task: TaskId): String = all().joinToString("\n") { leader -> leader.log.filter { task.job in it }.joinToString("\n") }
}
