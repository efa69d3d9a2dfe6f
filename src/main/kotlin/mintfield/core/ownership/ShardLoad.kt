package mintfield.core.ownership

import mintfield.core.Cluster
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState
import mintfield.core.jobs.Job

/** What decides, of a machine, whether a job may run there at all. */
data class MachineKind(
    val type: String,
    val zone: String,
    val spot: Boolean,
)

/** The kind of this machine. */
val Machine.kind: MachineKind get() = MachineKind(type.name, zone, spot)

/** How much work a share has and how many CPUs for it; its leader tells the others once a second. */
data class ShardLoad(
    val ownedCpus: Double,
    /** CPUs of its running and waiting tasks together, the waiting ones as far as their teams' limits allow. */
    val wantedCpus: Double,
    /** CPUs of waiting tasks for which its machines have no room. */
    val shortCpus: Double,
    /** CPUs of the smallest of these tasks. */
    val smallestCpus: Double,
    /** Kinds of machines on which some of these tasks fit. */
    val shortOf: Set<MachineKind>,
)

/** What is known of the load of other shares. */
interface ShardLoads {
    /** Null if its leader has not told it lately. */
    fun load(shard: String): ShardLoad?

    /** The part of the machines that the share is due, beside the weights of the others. */
    fun weight(shard: String): Double
}

/** Measures the load of the share whose scheduler works with [cluster]. */
class LoadMeter(
    private val cluster: Cluster,
) {
    /** What tasks ask of a machine; jobs that ask for the same are reckoned together. */
    private data class Need(
        val compatibleTypes: Set<String>,
        val zone: String?,
        val spot: Boolean,
        val cpus: Double,
        val gpus: Double,
        val memoryGb: Double,
    ) {
        fun fitsOn(kind: MachineKind) = kind.type in compatibleTypes && (zone == null || zone == kind.zone) && (spot || !kind.spot)
    }

    /** Room of one machine that no waiting task has been given yet. */
    private class Room(
        val kind: MachineKind,
        var cpus: Double,
        var gpus: Double,
        var memoryGb: Double,
    ) {
        /** Takes up to [most] tasks of [need]; returns how many. */
        fun take(
            need: Need,
            most: Int,
        ): Int {
            val tasks = minOf(most, times(cpus, need.cpus), times(gpus, need.gpus), times(memoryGb, need.memoryGb))
            cpus -= tasks * need.cpus
            gpus -= tasks * need.gpus
            memoryGb -= tasks * need.memoryGb
            return tasks
        }

        private fun times(
            room: Double,
            each: Double,
        ): Int = if (each <= 0) Int.MAX_VALUE else Math.floor((room + ROUNDING) / each).toInt()
    }

    fun measure(): ShardLoad {
        val own = cluster.machines.values.filter { it.state in IN_SERVICE && cluster.ownership.mayStart(it.id) }
        val waiting = waitingTasks()
        val short = tasksWithoutRoom(waiting, own)
        val runningCpus = cluster.jobs.values.sumOf { it.activeAttempts.size * it.spec.cpus }
        return ShardLoad(
            ownedCpus = own.sumOf { it.type.cpus },
            wantedCpus = runningCpus + waiting.entries.sumOf { (need, tasks) -> need.cpus * tasks },
            shortCpus = short.entries.sumOf { (need, tasks) -> need.cpus * tasks },
            smallestCpus = short.keys.minOfOrNull { it.cpus } ?: 0.0,
            shortOf = allKinds().filterTo(LinkedHashSet()) { kind -> short.keys.any { it.fitsOn(kind) } },
        )
    }

    /** Tasks that could start if there were machines: more machines do not help a team at its limit. */
    private fun waitingTasks(): Map<Need, Int> {
        val waiting = LinkedHashMap<Need, Int>()
        val takenCpus = HashMap<String, Double>()
        for (job in cluster.jobs.values) {
            if (job.cancelled || job.schedulableTasks <= 0) continue
            val spec = job.spec
            val taken = takenCpus[spec.team] ?: 0.0
            val allowed = cluster.quotas.allowance(spec)
            val left = if (allowed == Int.MAX_VALUE || spec.cpus <= 0) allowed else maxOf(0, allowed - Math.ceil(taken / spec.cpus).toInt())
            val tasks = minOf(job.schedulableTasks, left)
            if (tasks <= 0) continue
            takenCpus[spec.team] = taken + tasks * spec.cpus
            waiting.merge(need(job), tasks, Int::plus)
        }
        return waiting
    }

    private fun need(job: Job): Need {
        val spec = job.spec
        return Need(job.compatibleTypes, job.boundZone, spec.spot, spec.cpus, spec.gpus, spec.memoryGb)
    }

    /** Tasks left over when the free room of [own] has been given to [waiting], those with the least choice first. */
    private fun tasksWithoutRoom(
        waiting: Map<Need, Int>,
        own: List<Machine>,
    ): Map<Need, Int> {
        val rooms = own.filter { it.state == MachineState.UP }.map { Room(it.kind, it.freeCpus, it.freeGpus, it.freeMemoryGb) }
        val left = LinkedHashMap<Need, Int>()
        for ((need, tasks) in waiting.entries.sortedBy { it.key.compatibleTypes.size + if (it.key.zone == null) 1 else 0 }) {
            var rest = tasks
            for (room in rooms) {
                if (rest == 0) break
                if (need.fitsOn(room.kind)) rest -= room.take(need, rest)
            }
            if (rest > 0) left[need] = rest
        }
        return left
    }

    private fun allKinds(): List<MachineKind> =
        cluster.types.values.flatMap { type -> type.zones.flatMap { listOf(MachineKind(type.name, it, false), MachineKind(type.name, it, true)) } }

    private companion object {
        val IN_SERVICE = setOf(MachineState.PROVISIONING, MachineState.UP, MachineState.UNRESPONSIVE)

        /** What sums of fractions of a CPU may be off by. */
        const val ROUNDING = 1e-6
    }
}
