package mintfield.core.fleet

import mintfield.core.jobs.Attempt
import mintfield.core.jobs.AttemptState
import mintfield.core.model.MachineType
import mintfield.core.model.Shape

/**
 * What takes room on one machine: attempts that this leader has planned there, and foreign tasks. Sums and counts are kept up to date
 * with each change, as each scheduling round asks for them.
 */
class Occupancy(
    private val type: MachineType,
) {
    private val planned = LinkedHashSet<Attempt>()
    private val countByState = IntArray(AttemptState.entries.size)
    private var plannedCpus = 0.0
    private var plannedGpus = 0.0
    private var plannedMemoryGb = 0.0

    /** CPUs of foreign tasks that have not ended. Kept here, as each round reads it for each machine. */
    var foreignCpus = 0.0
        private set
    private var foreignGpus = 0.0
    private var foreignMemoryGb = 0.0

    /** Whether the newest heartbeat shows foreign tasks, ended or not. */
    var hasForeignTasks = false
        private set

    /** Number of [attempts]; a field of its own, as each tick reads it for each machine. */
    private var plannedCount = 0

    /** Whether there are any [attempts]. */
    val hasAttempts: Boolean get() = plannedCount > 0

    /** This leader's attempts on the machine, in the order in which they were planned. */
    val attempts: Set<Attempt> get() = planned

    /** Tasks on the machine whose jobs another shard's leader schedules. */
    val foreignTasks = ForeignTasks()

    /** CPUs that replicas of services take. */
    var serviceCpus = 0.0
        private set

    /**
     * Whether the newest heartbeat agreed with what is planned and left nothing to command. It stays so until an attempt here changes
     * or a heartbeat brings another list of tasks.
     */
    var reconciled = false
        private set

    /** CPUs that nothing takes. */
    val freeCpus: Double get() = type.cpus - plannedCpus - foreignCpus

    /** GPUs that nothing takes. */
    val freeGpus: Double get() = type.gpus - plannedGpus - foreignGpus

    /** GB of memory that nothing takes. */
    val freeMemoryGb: Double get() = type.memoryGb - plannedMemoryGb - foreignMemoryGb

    /** Whether any task takes room here. */
    val inUse: Boolean get() = hasAttempts || !foreignTasks.isEmpty

    /** Adds [attempt]; false if it is there already. */
    fun add(attempt: Attempt): Boolean {
        if (!planned.add(attempt)) return false
        plannedCount++
        reconciled = false
        countByState[attempt.state.ordinal]++
        val spec = attempt.job.spec
        if (spec.shape == Shape.SERVICE) serviceCpus += spec.cpus
        plannedCpus += spec.cpus
        plannedGpus += spec.gpus
        plannedMemoryGb += spec.memoryGb
        return true
    }

    /** Removes [attempt]; false if it is not there. */
    fun remove(attempt: Attempt): Boolean {
        if (!planned.remove(attempt)) return false
        plannedCount--
        reconciled = false
        countByState[attempt.state.ordinal]--
        if (!hasAttempts) {
            clearSums()
            return true
        }
        val spec = attempt.job.spec
        if (spec.shape == Shape.SERVICE) serviceCpus -= spec.cpus
        plannedCpus -= spec.cpus
        plannedGpus -= spec.gpus
        plannedMemoryGb -= spec.memoryGb
        return true
    }

    /** Sets the sums to exactly 0, which subtraction of fractions may miss. */
    private fun clearSums() {
        serviceCpus = 0.0
        plannedCpus = 0.0
        plannedGpus = 0.0
        plannedMemoryGb = 0.0
    }

    /** Replaces the foreign tasks by [found], which a newer heartbeat shows. */
    fun replaceForeignTasks(found: List<ForeignTask>) {
        if (found.isEmpty() && !hasForeignTasks) return
        foreignTasks.replace(found)
        hasForeignTasks = found.isNotEmpty()
        val running = found.filter { !it.ended }
        foreignCpus = running.sumOf { it.spec.cpus }
        foreignGpus = running.sumOf { it.spec.gpus }
        foreignMemoryGb = running.sumOf { it.spec.memoryGb }
    }

    /** An attempt here changes its state. */
    fun stateChanged(
        from: AttemptState,
        to: AttemptState,
    ) {
        reconciled = false
        countByState[from.ordinal]--
        countByState[to.ordinal]++
    }

    /** Number of attempts here in [state]. */
    fun count(state: AttemptState): Int = countByState[state.ordinal]

    /** Whether there is room for a task that needs [cpus], [gpus] and [memoryGb]. */
    fun hasRoomFor(
        cpus: Double,
        gpus: Double,
        memoryGb: Double,
    ): Boolean = cpus <= freeCpus + EPSILON && gpus <= freeGpus + EPSILON && memoryGb <= freeMemoryGb + EPSILON

    /** The newest heartbeat agrees with what is planned, or no longer does. */
    fun markReconciled(agrees: Boolean) {
        reconciled = agrees
    }

    private companion object {
        /** Tolerance for sums of fractions. */
        const val EPSILON = 1e-6
    }
}
