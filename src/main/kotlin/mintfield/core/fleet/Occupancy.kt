package mintfield.core.fleet

import mintfield.core.jobs.Attempt
import mintfield.core.jobs.AttemptState
import mintfield.core.model.MachineType
import mintfield.core.model.Shape

/**
 * The capacity of one machine that is occupied by attempts of this leader and by foreign tasks. Sums and counts are updated with each
 * change because each scheduling round reads them.
 */
class Occupancy(
    private val type: MachineType,
) {
    private val planned = LinkedHashSet<Attempt>()
    private val countByState = IntArray(AttemptState.entries.size)
    private var plannedCpus = 0.0
    private var plannedGpus = 0.0
    private var plannedMemoryGb = 0.0

    /** CPUs of foreign tasks that have not ended. Kept as a field because each round reads it for each machine. */
    var foreignCpus = 0.0
        private set
    private var foreignGpus = 0.0
    private var foreignMemoryGb = 0.0

    /** Whether the newest heartbeat lists foreign tasks, ended or not. */
    var hasForeignTasks = false
        private set

    /** Number of [attempts]. Kept as a field because each tick reads it for each machine. */
    private var plannedCount = 0

    /** Whether there are any [attempts]. */
    val hasAttempts: Boolean get() = plannedCount > 0

    /** This leader's attempts on the machine, in the order in which they were planned. */
    val attempts: Set<Attempt> get() = planned

    /** Tasks on the machine whose jobs another shard's leader schedules. */
    val foreignTasks = ForeignTasks()

    /** CPUs that replicas of services occupy. */
    var serviceCpus = 0.0
        private set

    /**
     * Whether the newest heartbeat matches the planned attempts, so that no command is needed. Reset when an attempt here changes or a
     * heartbeat has a different list of tasks.
     */
    var reconciled = false
        private set

    /** Unoccupied CPUs. */
    val freeCpus: Double get() = type.cpus - plannedCpus - foreignCpus

    /** Unoccupied GPUs. */
    val freeGpus: Double get() = type.gpus - plannedGpus - foreignGpus

    /** Unoccupied memory in GB. */
    val freeMemoryGb: Double get() = type.memoryGb - plannedMemoryGb - foreignMemoryGb

    /** Whether an attempt or a foreign task that has not ended occupies the machine. */
    val inUse: Boolean get() = hasAttempts || !foreignTasks.isEmpty

    /** Adds [attempt]; returns false if it was added before. */
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

    /** Removes [attempt]; returns false if it is not here. */
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

    /** Sets the sums to exactly 0, which subtraction of fractions may not reach because of rounding errors. */
    private fun clearSums() {
        serviceCpus = 0.0
        plannedCpus = 0.0
        plannedGpus = 0.0
        plannedMemoryGb = 0.0
    }

    /** Replaces the foreign tasks by [found], from a newer heartbeat. */
    fun replaceForeignTasks(found: List<ForeignTask>) {
        if (found.isEmpty() && !hasForeignTasks) return
        foreignTasks.replace(found)
        hasForeignTasks = found.isNotEmpty()
        val running = found.filter { !it.ended }
        foreignCpus = running.sumOf { it.spec.cpus }
        foreignGpus = running.sumOf { it.spec.gpus }
        foreignMemoryGb = running.sumOf { it.spec.memoryGb }
    }

    /** Updates the counts when an attempt here changes its state. */
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

    /** Whether the free capacity suffices for a task that needs [cpus], [gpus] and [memoryGb]. */
    fun hasCapacityFor(
        cpus: Double,
        gpus: Double,
        memoryGb: Double,
    ): Boolean = cpus <= freeCpus + EPSILON && gpus <= freeGpus + EPSILON && memoryGb <= freeMemoryGb + EPSILON

    /** Sets whether the newest heartbeat [matches] the planned attempts. */
    fun markReconciled(matches: Boolean) {
        reconciled = matches
    }

    private companion object {
        /** Tolerance for sums of fractions. */
        const val EPSILON = 1e-6
    }
}
