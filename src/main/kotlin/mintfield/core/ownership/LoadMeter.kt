package mintfield.core.ownership

import mintfield.core.Cluster
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState
import mintfield.core.jobs.Job

/** Measures the load of the shard whose scheduler works with [cluster]. */
class LoadMeter(
    private val cluster: Cluster,
) {
    /** What a task requires of a machine. Jobs with the same requirement are counted together. */
    private data class Requirement(
        val compatibleTypes: Set<String>,
        val zone: String?,
        val spot: Boolean,
        val cpus: Double,
        val gpus: Double,
        val memoryGb: Double,
    ) {
        fun fitsOn(kind: MachineKind) = kind.type in compatibleTypes && (zone == null || zone == kind.zone) && (spot || !kind.spot)

        /** How many choices of machine type and zone the task has; jobs with few come first. */
        fun choices() = compatibleTypes.size + if (zone == null) 1 else 0
    }

    /** The room of one machine that no waiting task has taken yet. */
    private class FreeRoom(
        val kind: MachineKind,
        var cpus: Double,
        var gpus: Double,
        var memoryGb: Double,
    ) {
        /** Gives room to up to [most] tasks of [requirement]; returns to how many. */
        fun take(
            requirement: Requirement,
            most: Int,
        ): Int {
            val tasks = minOf(most, times(cpus, requirement.cpus), times(gpus, requirement.gpus), times(memoryGb, requirement.memoryGb))
            cpus -= tasks * requirement.cpus
            gpus -= tasks * requirement.gpus
            memoryGb -= tasks * requirement.memoryGb
            return tasks
        }

        /** How many times [each] goes into [room]. */
        private fun times(
            room: Double,
            each: Double,
        ): Int = if (each <= 0) Int.MAX_VALUE else Math.floor((room + ROUNDING) / each).toInt()
    }

    /** The load now. Takes time in proportion to the unfinished jobs and the machines of the shard. */
    fun measure(): ShardLoad {
        val own = cluster.machines.values.filter { it.state in IN_SERVICE && cluster.ownership.mayStart(it.id) }
        val waiting = waitingTasks()
        val short = tasksWithoutRoom(waiting, own)
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

    /** How many tasks could start if there were machines for them. Tasks beyond a team's limit do not count: machines would not help them. */
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

    /** The tasks of [waiting] that are left without room on the machines [own]. Those with the fewest choices take room first. */
    private fun tasksWithoutRoom(
        waiting: Map<Requirement, Int>,
        own: List<Machine>,
    ): Map<Requirement, Int> {
        val rooms = own.filter { it.state == MachineState.UP }.map { FreeRoom(it.kind, it.freeCpus, it.freeGpus, it.freeMemoryGb) }
        val withoutRoom = LinkedHashMap<Requirement, Int>()
        for ((requirement, tasks) in waiting.entries.sortedBy { it.key.choices() }) {
            var remaining = tasks
            for (room in rooms) {
                if (remaining == 0) break
                if (requirement.fitsOn(room.kind)) remaining -= room.take(requirement, remaining)
            }
            if (remaining > 0) withoutRoom[requirement] = remaining
        }
        return withoutRoom
    }

    private fun allKinds(): List<MachineKind> =
        cluster.types.values.flatMap { type ->
            type.zones.flatMap { zone -> listOf(MachineKind(type.name, zone, spot = false), MachineKind(type.name, zone, spot = true)) }
        }

    private companion object {
        val IN_SERVICE = setOf(MachineState.PROVISIONING, MachineState.UP, MachineState.UNRESPONSIVE)

        /** The error that sums of fractions of a CPU may have. */
        const val ROUNDING = 1e-6
    }
}
