package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job
import mintfield.core.model.Priority
import mintfield.core.model.Shape

/** Runs scheduling rounds. Each plans tasks of the waiting jobs on machines, in the order of [JobOrder]. Used only on the leader's event loop. */
class SchedulingRound(
    private val cluster: Cluster,
    private val log: (String) -> Unit,
) {
    private val jobOrder = JobOrder(cluster)
    private val stalledJobs = StalledJobReport(cluster, log)

    /**
     * Plans up to [maxTasks] tasks, only tasks of services if [replicasOnly] is set. Returns the number of planned tasks. [nowMs] is the
     * monotonic time and [wallMs] the wall-clock time, both in milliseconds.
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
        val starvation = StarvationGuard(cluster, waiting, wallMs)
        val withCapacity = MachinesWithCapacity(openMachines, waiting, reserve, nowMs)
        // Skips the placement so that the cost of a round does not grow with the number of waiting jobs while all machines are full.
        val mayPlace = !withCapacity.isEmpty || waiting.any { it.spec.shape != Shape.ARRAY || it.preemptionPriority < Priority.NORMAL }
        val planned = if (mayPlace) Run(nowMs, wallMs, maxTasks, waiting, openMachines, reserve, starvation, withCapacity).placeAll() else 0
        if (!replicasOnly) stalledJobs.report(waiting, openMachines, reserve, starvation, nowMs)
        return planned
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

    /** The state of one round while it runs. */
    private inner class Run(
        private val nowMs: Long,
        wallMs: Long,
        private val maxTasks: Int,
        private val waiting: List<Job>,
        private val openMachines: List<Machine>,
        reserve: ReplicaReserve,
        private val starvation: StarvationGuard,
        private val withCapacity: MachinesWithCapacity,
    ) {
        private val placement = TaskPlacement(cluster, openMachines, reserve, cluster.attemptNumber(), nowMs, log)
        private val exhausted = ExhaustedSearches(nowMs)
        private val gracePeriod = FailoverGracePeriod(cluster, nowMs)
        private val order = jobOrder.sorted(waiting, wallMs)
        private val arrayCpus = arrayCapacity(cluster)
        private val images = ImageLocality(cluster, openMachines, waiting, arrayCpus, nowMs)
        private var reservedForGang = emptySet<Machine>()
        private var planned = 0

        fun placeAll(): Int {
            placeStarving()
            reservedForGang = starvation.reservedForGang(openMachines)
            val deferred = placeInOrder()
            placeDeferred(deferred)
            return planned
        }

        private fun placeStarving() {
            for (turn in starvation.turns(arrayCpus)) {
                if (planned >= maxTasks) return
                place(turn.job, turn.maxTasks, ImageRank.ABSENT, Double.MAX_VALUE)
            }
        }

        /** Places jobs in their order. Returns the deferred jobs, placed only on machines that have their image because capacity is scarce. */
        private fun placeInOrder(): List<Job> {
            val deferred = ArrayList<Job>()
            val waitingCpus = waiting.sumOf { it.schedulableTasks * it.spec.cpus }
            val saturated = waitingCpus > openMachines.sumOf { it.type.cpus } * PlacementConstants.SATURATED_CPU_FRACTION
            for (job in order) {
                if (planned >= maxTasks) break
                val waitsForImage = saturated && images.imageHoldersHaveCapacityFor(job)
                if (waitsForImage) deferred.add(job)
                val maxImageRank = if (waitsForImage || gracePeriod.appliesTo(job)) ImageRank.PRESENT else ImageRank.ABSENT
                place(job, maxTasks, maxImageRank, images.maxFetchS(job))
            }
            return deferred
        }

        /** Places the [deferred] jobs on the capacity that is left, where they must fetch their image. */
        private fun placeDeferred(deferred: List<Job>) {
            for (job in deferred) {
                if (planned >= maxTasks) return
                if (job.waitingCount > 0 && !gracePeriod.appliesTo(job)) place(job, maxTasks, ImageRank.ABSENT, images.maxFetchS(job))
            }
        }

        private fun place(
            job: Job,
            maxTasksOfJob: Int,
            maxImageRank: Int,
            maxFetchS: Double,
        ) {
            val most = minOf(maxTasksOfJob, maxTasks - planned)
            val allowed = minOf(most, cluster.quotas.allowance(job.spec), job.schedulableTasks)
            if (allowed <= 0 || exhausted.covers(job, maxImageRank, maxFetchS)) return
            val found = placement.place(job, candidates(job), allowed, maxImageRank, maxFetchS)
            if (found < allowed) exhausted.add(job, maxImageRank, maxFetchS)
            planned += found
        }

        private fun candidates(job: Job): List<Machine> {
            val machines = withCapacity.forJob(job)
            val usesReserved = reservedForGang.isEmpty() || job.spec.shape != Shape.ARRAY || job.acceptsAnyMachine(nowMs)
            return if (usesReserved) machines else machines.filter { it !in reservedForGang }
        }
    }
}
