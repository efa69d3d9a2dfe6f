package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job
import mintfield.core.model.JobSpec
import mintfield.core.model.Shape

/**
 * Places the waiting tasks of jobs on machines, one job at a time: best-fit bin packing in the phases of [PlacementPhase]. An instance is
 * used for one round, whose attempts have the number [roundNumber].
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
     * Plans up to [maxTasks] waiting tasks of [job] on [candidates] whose image rank is at most [maxImageRank] and whose image fetch takes at
     * most [maxFetchS] seconds. Returns the number of planned tasks.
     */
    fun place(
        job: Job,
        candidates: List<Machine>,
        maxTasks: Int,
        maxImageRank: Int,
        maxFetchS: Double,
    ): Int {
        val isGang = job.spec.shape == Shape.GANG
        // A gang is placed as a whole: only after its previous attempts have ended, and only if all its tasks fit.
        if (candidates.isEmpty() || (isGang && (job.activeAttempts.isNotEmpty() || maxTasks < job.waitingCount))) return 0
        val zones = ZoneConstraint(job, openMachines)
        val filter = PlacementFilter(job, zones, openMachines, reserve, nowMs)
        val fitting = candidates.filter(filter::allows)
        val gangFits = !isGang || fitting.sumOf { taskCapacity(job.spec, it.freeCpus, it.freeGpus, it.freeMemoryGb) } >= job.waitingCount
        val planned = if (gangFits) JobSearch(job, zones, filter, fitting, maxTasks, maxImageRank, maxFetchS).run() else 0
        if (!isGang || job.waitingCount <= 0) return planned
        // The estimated capacity can suffice although not all tasks can be placed, for example because of the accepted images or the zones.
        job.activeAttempts.toList().forEach { cluster.stop(it, nowMs, "no capacity for the rest of its gang") }
        return 0
    }

    /** The search for machines for one job among [fitting], the candidates that its constraints allow. */
    private inner class JobSearch(
        private val job: Job,
        private val zones: ZoneConstraint,
        private val filter: PlacementFilter,
        private val fitting: List<Machine>,
        maxTasks: Int,
        private val maxImageRank: Int,
        private val maxFetchS: Double,
    ) {
        private val spec: JobSpec = job.spec
        private val rankedMachines = MachineRanking(spec, fitting.filter { isImageAccepted(it) && filter.hasCapacity(it) })
        private val tasks = job.waiting(maxTasks).iterator()
        private var planned = 0

        fun run(): Int {
            for (phase in PlacementPhase.of(job)) {
                if (!tasks.hasNext()) break
                val maxRank = minOf(phase.maxImageRank, maxImageRank)
                if (phase.preempting) preempt(maxRank) else fill(maxRank, phase.spreading)
            }
            return planned
        }

        private fun isImageAccepted(machine: Machine): Boolean {
            val rank = ImageRank.of(machine, spec.image)
            return rank == ImageRank.PRESENT || (rank <= maxImageRank && machine.images.fetchS(spec.image, spec.imageGb) <= maxFetchS)
        }

        private fun fill(
            maxRank: Int,
            spreading: Boolean,
        ) {
            for (ranked in rankedMachines) {
                if (!tasks.hasNext()) return
                if (ranked.imageRank <= maxRank && isFetchAccepted(ranked)) fill(ranked.machine, spreading)
            }
        }

        /** Whether the image fetch on the machine still takes at most [maxFetchS] seconds. Tasks placed after the ranking may have made it longer. */
        private fun isFetchAccepted(ranked: RankedMachine) =
            ranked.imageRank == ImageRank.PRESENT || ranked.machine.images.fetchS(spec.image, spec.imageGb) <= maxFetchS

        private fun fill(
            machine: Machine,
            spreading: Boolean,
        ) {
            val isSpread = spreading && spec.shape == Shape.SERVICE
            val maxServiceCpus = if (isSpread) machine.type.cpus * PlacementConstants.SPREAD_CPU_FRACTION else machine.type.cpus
            while (tasks.hasNext() && isCandidate(machine, maxServiceCpus)) {
                reserve.recordTask(machine, spec.cpus)
                planNext(machine)
            }
        }

        private fun isCandidate(
            machine: Machine,
            maxServiceCpus: Double,
        ) = machine.occupancy.serviceCpus + spec.cpus <= maxServiceCpus && filter.hasCapacity(machine) && zones.allows(machine.zone)

        private fun preempt(maxRank: Int) {
            val ranking = MachineRanking(spec, fitting.filter { ImageRank.of(it, spec.image) <= maxRank })
            while (tasks.hasNext()) {
                val candidates = ranking.filter { zones.allows(it.machine.zone) }
                val machine = preemption.preemptFor(job, candidates, nowMs) ?: return
                planNext(machine)
            }
        }

        private fun planNext(machine: Machine) {
            val index = tasks.next()
            cluster.attemptUsed(roundNumber)
            cluster.occupy(job, index, roundNumber, machine, machine.incarnation)
            job.lastPlanAtMs = nowMs
            if (spec.shape == Shape.SERVICE) {
                log("placing ${spec.id}/$index on ${machine.id}, image ${if (machine.images.has(spec.image)) "present" else "to be fetched"}")
            }
            zones.recordPlaced(machine.zone)
            planned++
        }
    }
}
