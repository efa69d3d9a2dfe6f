package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job
import mintfield.core.model.Priority
import mintfield.core.model.Shape

/** Scheduling rounds: each takes the waiting jobs in their order and plans their tasks on machines. Used on the leader's event loop only. */
class SchedulingRound(
    private val cluster: Cluster,
    private val log: (String) -> Unit,
) {
    private val jobOrder = JobOrder(cluster)

    /**
     * Plans up to [maxTasks] tasks, of services only if [replicasOnly] says so, and returns how many were planned. [nowMs] is steady time,
     * [wallMs] the time of day.
     */
    fun run(
        nowMs: Long,
        wallMs: Long,
        maxTasks: Int,
        replicasOnly: Boolean = false,
    ): Int {
        val waiting = if (nowMs < cluster.planningSuspendedUntilMs) emptyList() else waitingJobs(nowMs, replicasOnly)
        val openMachines = if (waiting.isEmpty()) emptyList() else openMachines(nowMs)
        if (openMachines.isEmpty()) return 0
        val reserve = ReplicaReserve(cluster, openMachines)
        val withCapacity = MachinesWithCapacity(openMachines, waiting, reserve)
        // While everything is full a round costs no more for many waiting jobs than for few.
        if (withCapacity.none && waiting.none { it.spec.shape != Shape.ARRAY || it.displacingPriority < Priority.NORMAL }) return 0
        return Run(nowMs, wallMs, maxTasks, waiting, openMachines, reserve, withCapacity).placeAll()
    }

    private fun waitingJobs(
        nowMs: Long,
        replicasOnly: Boolean,
    ): List<Job> {
        val jobs = if (replicasOnly) cluster.jobs.values.filter { it.spec.shape == Shape.SERVICE } else cluster.jobs.values
        return jobs.filter { !it.cancelled && !it.finishing && !it.unreadable && nowMs >= it.notBeforeMs && it.schedulableTasks > 0 }
    }

    private fun openMachines(nowMs: Long): List<Machine> =
        cluster.machines.values.filter { it.acceptsTasks(nowMs, cluster.timings.heartbeatTimeoutMs) && cluster.ownership.mayStart(it.id) }

    /** One round that is under way. */
    private inner class Run(
        nowMs: Long,
        wallMs: Long,
        private val maxTasks: Int,
        private val waiting: List<Job>,
        private val openMachines: List<Machine>,
        reserve: ReplicaReserve,
        private val withCapacity: MachinesWithCapacity,
    ) {
        private val placement = TaskPlacement(cluster, openMachines, reserve, cluster.attemptNumber(), nowMs, log)
        private val exhausted = ExhaustedSearches()
        private val settling = FailoverSettling(cluster, nowMs)
        private val order = jobOrder.sorted(waiting, wallMs)
        private val starvation = StarvationGuard(cluster, waiting, wallMs)
        private val arrayCpus = arrayCapacity(cluster)
        private val images = ImageLocality(cluster, openMachines, waiting, arrayCpus, nowMs)
        private var reservedForGang = emptySet<Machine>()
        private var planned = 0

        fun placeAll(): Int {
            placeStarving()
            reservedForGang = starvation.reservedForGang(openMachines)
            val patient = placeInOrder()
            placePatient(patient)
            return planned
        }

        private fun placeStarving() {
            for (turn in starvation.turns(arrayCpus)) {
                if (planned >= maxTasks) return
                place(turn.job, turn.maxTasks, ImageRank.ABSENT, Double.MAX_VALUE)
            }
        }

        /** Places jobs in their order. Returns those that, as room is scarce, were placed only where their image is. */
        private fun placeInOrder(): List<Job> {
            val patient = ArrayList<Job>()
            val waitingCpus = waiting.sumOf { it.schedulableTasks * it.spec.cpus }
            val crowded = waitingCpus > openMachines.sumOf { it.type.cpus } * PlacementConstants.CROWDED_CPU_FRACTION
            for (job in order) {
                if (planned >= maxTasks) break
                val waitsForImage = crowded && images.hasEnoughHolders(job)
                if (waitsForImage) patient.add(job)
                val worstImage = if (waitsForImage || settling.appliesTo(job)) ImageRank.PRESENT else ImageRank.ABSENT
                place(job, maxTasks, worstImage, images.patienceS(job))
            }
            return patient
        }

        /** Room that no job with the image has taken is used by those that must fetch theirs. */
        private fun placePatient(patient: List<Job>) {
            for (job in patient) {
                if (planned >= maxTasks) return
                if (job.waitingCount > 0 && !settling.appliesTo(job)) place(job, maxTasks, ImageRank.ABSENT, images.patienceS(job))
            }
        }

        private fun place(
            job: Job,
            maxTasksOfJob: Int,
            worstImage: Int,
            patienceS: Double,
        ) {
            val most = minOf(maxTasksOfJob, maxTasks - planned)
            val allowed = minOf(most, cluster.quotas.allowance(job.spec), job.schedulableTasks)
            if (allowed <= 0 || exhausted.covers(job, worstImage, patienceS)) return
            val found = placement.place(job, candidates(job), allowed, worstImage, patienceS)
            if (found < allowed) exhausted.add(job, worstImage, patienceS)
            planned += found
        }

        private fun candidates(job: Job): List<Machine> {
            val machines = withCapacity.forJob(job)
            return if (reservedForGang.isEmpty() || job.spec.shape != Shape.ARRAY) machines else machines.filter { it !in reservedForGang }
        }
    }
}
