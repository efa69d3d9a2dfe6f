package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job
import mintfield.core.model.JobSpec
import mintfield.core.model.Shape

/**
 * Places the waiting tasks of one job after the other on machines: bin packing by best fit, in phases that each accept more than the one
 * before. Lives for one round, whose attempts have the number [roundNumber].
 */
internal class TaskPlacement(
    private val cluster: Cluster,
    private val openMachines: List<Machine>,
    private val reserve: ReplicaReserve,
    private val roundNumber: Long,
    private val nowMs: Long,
    private val log: (String) -> Unit,
) {
    private val preemption = Preemption(cluster)

    /**
     * Plans up to [maxTasks] waiting tasks of [job] on [candidates] whose image rank is [worstImage] or better and whose fetch takes no
     * more than [patienceS] seconds. Returns how many were planned.
     */
    fun place(
        job: Job,
        candidates: List<Machine>,
        maxTasks: Int,
        worstImage: Int,
        patienceS: Double,
    ): Int {
        val isGang = job.spec.shape == Shape.GANG
        // A gang is placed as a whole: not before its last attempts are gone, and only if there is room for all.
        if (candidates.isEmpty() || (isGang && (job.activeAttempts.isNotEmpty() || maxTasks < job.waitingCount))) return 0
        val zones = ZoneConstraint(job, openMachines)
        val avoided = if (failedOnFew(job, zones)) job.failedOn else emptySet()
        val fitting = candidates.filter { it.id !in avoided && mayHold(job, it) && zones.allows(it.zone) }
        val hasRoom = !isGang || fitting.sumOf { taskCapacity(job.spec, it.freeCpus, it.freeGpus, it.freeMemoryGb) } >= job.waitingCount
        val planned = if (hasRoom) JobSearch(job, zones, fitting, maxTasks, worstImage, patienceS).run() else 0
        if (!isGang || job.waitingCount <= 0) return planned
        // Room for each task by itself may still not hold all of them.
        job.activeAttempts.toList().forEach { cluster.stop(it, nowMs, "the rest of its gang has no room") }
        return 0
    }

    /** Whether [job] has failed on machines, but on few of those that could hold it, so that it can avoid them. */
    private fun failedOnFew(
        job: Job,
        zones: ZoneConstraint,
    ) = job.failedOn.isNotEmpty() && job.failedOn.size < openMachines.count { mayHold(job, it) && zones.allows(it.zone) } / 2

    private fun mayHold(
        job: Job,
        machine: Machine,
    ): Boolean {
        val spec = job.spec
        return machine.type.name in job.compatibleTypes && (spec.types == null || machine.type.name in spec.types) && (!machine.spot || spec.spot)
    }

    /** The search for machines for one job among [fitting], which its constraints allow. */
    private inner class JobSearch(
        private val job: Job,
        private val zones: ZoneConstraint,
        private val fitting: List<Machine>,
        maxTasks: Int,
        private val worstImage: Int,
        private val patienceS: Double,
    ) {
        private val spec: JobSpec = job.spec
        private val withRoom = MachineRanking(spec, fitting.filter { isNear(it) && hasRoom(it) })
        private val tasks = job.waiting(maxTasks).iterator()
        private var planned = 0

        fun run(): Int {
            for (phase in PlacementPhase.of(job)) {
                if (!tasks.hasNext()) break
                val worst = minOf(phase.worstImage, worstImage)
                if (phase.preempting) preempt(worst) else fill(worst, phase.spreading)
            }
            return planned
        }

        private fun isNear(machine: Machine): Boolean {
            val rank = ImageRank.of(machine, spec.image)
            return rank == ImageRank.PRESENT || (rank <= worstImage && machine.images.fetchS(spec.image, spec.imageGb) <= patienceS)
        }

        private fun hasRoom(machine: Machine) = machine.occupancy.hasCapacityFor(spec.cpus + reserve.margin(machine, spec), spec.gpus, spec.memoryGb)

        private fun fill(
            worst: Int,
            spreading: Boolean,
        ) {
            for (ranked in withRoom) {
                if (!tasks.hasNext()) return
                if (ranked.imageRank <= worst && fetchIsShort(ranked)) fill(ranked.machine, spreading)
            }
        }

        /** Tasks placed meanwhile may have lengthened the fetch. */
        private fun fetchIsShort(ranked: RankedMachine) =
            ranked.imageRank == ImageRank.PRESENT || ranked.machine.images.fetchS(spec.image, spec.imageGb) <= patienceS

        private fun fill(
            machine: Machine,
            spreading: Boolean,
        ) {
            val isSpread = spreading && spec.shape == Shape.SERVICE
            val maxServiceCpus = if (isSpread) machine.type.cpus * PlacementConstants.SPREAD_CPU_FRACTION else machine.type.cpus
            while (tasks.hasNext() && machine.occupancy.serviceCpus + spec.cpus <= maxServiceCpus && hasRoom(machine) && zones.allows(machine.zone)) {
                reserve.taken(machine, spec.cpus)
                planNext(machine)
            }
        }

        private fun preempt(worst: Int) {
            val ranking = MachineRanking(spec, fitting.filter { ImageRank.of(it, spec.image) <= worst })
            while (tasks.hasNext()) {
                val candidates = ranking.filter { zones.allows(it.machine.zone) }
                val machine = preemption.makeRoom(job, candidates, nowMs) ?: return
                planNext(machine)
            }
        }

        private fun planNext(machine: Machine) {
            val index = tasks.next()
            cluster.attemptUsed(roundNumber)
            cluster.occupy(job, index, roundNumber, machine, machine.incarnation)
            job.lastPlanAtMs = nowMs
            if (spec.shape == Shape.SERVICE) {
                log("placing ${spec.id}/$index on ${machine.id}, image ${if (machine.images.has(spec.image)) "there" else "to fetch"}")
            }
            zones.placed(machine.zone)
            planned++
        }
    }
}
