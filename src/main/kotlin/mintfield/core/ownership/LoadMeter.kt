package mintfield.core.ownership

import mintfield.core.Cluster
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState
import mintfield.core.jobs.Job

/** Measures the load of the shard whose machines and jobs are in [cluster]. */
class LoadMeter(
    private val cluster: Cluster,
) {
    /** The requirements of a task on its machine. Tasks of jobs with equal requirements are counted together. */
    private data class Requirement(
        val compatibleTypes: Set<String>,
        val zone: String?,
        val spot: Boolean,
        val cpus: Double,
        val gpus: Double,
        val memoryGb: Double,
    ) {
        fun fitsOn(kind: MachineKind) = kind.type in compatibleTypes && (zone == null || zone == kind.zone) && (spot || !kind.spot)

        /** A measure of how many machine types and zones the task may use, for sorting: tasks with fewer choices are placed first. */
        fun choices() = compatibleTypes.size + if (zone == null) 1 else 0
    }

    /** The free capacity of one machine that is not yet allocated to waiting tasks. */
    private class FreeCapacity(
        val kind: MachineKind,
        var cpus: Double,
        var gpus: Double,
        var memoryGb: Double,
    ) {
        /** Allocates capacity to at most [maxTasks] tasks of [requirement]; returns the number of tasks that fit. */
        fun allocate(
            requirement: Requirement,
            maxTasks: Int,
        ): Int {
            val tasks = minOf(maxTasks, fitCount(cpus, requirement.cpus), fitCount(gpus, requirement.gpus), fitCount(memoryGb, requirement.memoryGb))
            cpus -= tasks * requirement.cpus
            gpus -= tasks * requirement.gpus
            memoryGb -= tasks * requirement.memoryGb
            return tasks
        }

        /** The number of tasks requiring [each] that [capacity] has capacity for. */
        private fun fitCount(
            capacity: Double,
            each: Double,
        ): Int = if (each <= 0) Int.MAX_VALUE else Math.floor((capacity + ROUNDING) / each).toInt()
    }

    /** The current load. Its cost is linear in the number of unfinished jobs and machines of the shard. */
    fun measure(): ShardLoad {
        val own = cluster.machines.values.filter { it.state in IN_SERVICE && cluster.ownership.mayStart(it.id) }
        val waiting = waitingTasks()
        val short = tasksWithoutCapacity(waiting, own)
        val runningCpus = cluster.jobs.values.sumOf { it.activeAttempts.size * it.spec.cpus }
        return ShardLoad(
            ownedCpus = own.sumOf { it.type.cpus },
            wantedCpus = runningCpus + cpusOf(waiting),
            shortCpus = cpusOf(short),
            smallestCpus = short.keys.minOfOrNull { it.cpus } ?: 0.0,
            shortOf = allKinds().filterTo(LinkedHashSet()) { kind -> short.keys.any { it.fitsOn(kind) } },
        )
    }

    private fun cpusOf(tasks: Map<Requirement, Int>) = tasks.entries.sumOf { (requirement, count) -> requirement.cpus * count }

    /** The tasks that could start if machines had capacity for them. Tasks beyond a team's quota are not counted: more machines would not help. */
    private fun waitingTasks(): Map<Requirement, Int> {
        val waiting = LinkedHashMap<Requirement, Int>()
        val takenCpusByTeam = HashMap<String, Double>()
        for (job in cluster.jobs.values) {
            if (job.cancelled || job.schedulableTasks <= 0) continue
            val spec = job.spec
            val taken = takenCpusByTeam[spec.team] ?: 0.0
            val allowed = cluster.quotas.allowance(spec)
            val left = if (allowed == Int.MAX_VALUE || spec.cpus <= 0) allowed else maxOf(0, allowed - Math.ceil(taken / spec.cpus).toInt())
            val tasks = minOf(job.schedulableTasks, left)
            if (tasks <= 0) continue
            takenCpusByTeam[spec.team] = taken + tasks * spec.cpus
            waiting.merge(requirement(job), tasks, Int::plus)
        }
        return waiting
    }

    private fun requirement(job: Job): Requirement {
        val spec = job.spec
        return Requirement(job.compatibleTypes, job.boundZone, spec.spot, spec.cpus, spec.gpus, spec.memoryGb)
    }

    /** The tasks of [waiting] that do not fit on the machines [own]. Tasks with the fewest choices are placed first. */
    private fun tasksWithoutCapacity(
        waiting: Map<Requirement, Int>,
        own: List<Machine>,
    ): Map<Requirement, Int> {
        val capacities = own.filter { it.state == MachineState.UP }.map { FreeCapacity(it.kind, it.freeCpus, it.freeGpus, it.freeMemoryGb) }
        val unplaced = LinkedHashMap<Requirement, Int>()
        for ((requirement, tasks) in waiting.entries.sortedBy { it.key.choices() }) {
            var remaining = tasks
            for (capacity in capacities) {
                if (remaining == 0) break
                if (requirement.fitsOn(capacity.kind)) remaining -= capacity.allocate(requirement, remaining)
            }
            if (remaining > 0) unplaced[requirement] = remaining
        }
        return unplaced
    }

    private fun allKinds(): List<MachineKind> =
        cluster.types.values.flatMap { type ->
            type.zones.flatMap { zone -> listOf(MachineKind(type.name, zone, spot = false), MachineKind(type.name, zone, spot = true)) }
        }

    private companion object {
        val IN_SERVICE = setOf(MachineState.PROVISIONING, MachineState.UP, MachineState.UNRESPONSIVE)

        /** Tolerance for rounding errors in sums of fractional CPUs. */
        const val ROUNDING = 1e-6
    }
}
