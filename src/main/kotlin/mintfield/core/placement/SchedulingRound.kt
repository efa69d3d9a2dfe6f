package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState
import mintfield.core.jobs.Attempt
import mintfield.core.jobs.AttemptState
import mintfield.core.jobs.Job
import mintfield.core.model.JobSpec
import mintfield.core.model.Priority
import mintfield.core.model.Shape

/** One round of decisions: what waits, in order of its claim, is put on the fullest machines that fit. */
class SchedulingRound(
    private val cluster: Cluster,
    private val log: (String) -> Unit,
) {
    private val jobOrder = JobOrder(cluster)

    /** Plans up to [most] tasks; returns how many were planned. */
    fun run(
        nowMs: Long,
        wallMs: Long,
        most: Int,
        replicasOnly: Boolean = false,
    ): Int {
        val candidates = if (replicasOnly) cluster.jobs.values.filter { it.spec.shape == Shape.SERVICE } else cluster.jobs.values
        val waiting = candidates.filter { !it.cancelled && !it.finishing && !it.unreadable && nowMs >= it.notBeforeMs && it.schedulableTasks > 0 }
        if (waiting.isEmpty() || nowMs < cluster.holdUntilMs) return 0
        val open = cluster.machines.values.filter { it.open(nowMs, cluster.timings.heartbeatTimeoutMs) && cluster.ownership.mayStart(it.id) }
        if (open.isEmpty()) return 0
        val number = cluster.attemptNumber()
        val reserve = ReplicaReserve(cluster, open)
        val withCapacity = MachinesWithCapacity(open, waiting, reserve)
        // While everything is full a round costs no more for much that waits than for little.
        if (withCapacity.none && waiting.none { it.spec.shape != Shape.ARRAY || it.displacingPriority < Priority.NORMAL }) return 0
        var planned = 0
        val search = Search(open, number, reserve, nowMs)
        val settling = Settling(nowMs)
        val order = jobOrder.sorted(waiting, wallMs)
        val turns = StarvationGuard(cluster, waiting, wallMs)
        val arrayCpus = jobOrder.arrayCapacity()
        val images = ImageLocality(cluster, open, waiting, arrayCpus, nowMs)
        for ((job, tasks) in turns.first(arrayCpus)) {
            if (planned >= most) break
            planned += place(job, search, minOf(tasks, most - planned), ImageRank.ANYWHERE, Double.MAX_VALUE) { withCapacity.forJob(job) }
        }
        val setAside = turns.setAside(open)
        val patient = ArrayList<Job>()
        val congested = waiting.sumOf { it.schedulableTasks * it.spec.cpus } > open.sumOf { it.type.cpus } * PlacementConstants.CROWDED_CPU_FRACTION
        for (job in order) {
            if (planned >= most) break
            val waits = congested && images.enough(job)
            if (waits) patient.add(job)
            val worst = if (waits || settling.of(job)) ImageRank.THERE else ImageRank.ANYWHERE
            planned += place(job, search, most - planned, worst, images.patienceS(job)) { turns.openTo(job, withCapacity.forJob(job), setAside) }
        }
        // Room that nobody with the image wanted is worth a fetch.
        for (job in patient) {
            if (planned >= most) break
            if (job.waitingCount > 0 && !settling.of(job)) {
                planned +=
                    place(job, search, most - planned, ImageRank.ANYWHERE, images.patienceS(job)) { turns.openTo(job, withCapacity.forJob(job), setAside) }
            }
        }
        return planned
    }

    /**
     * Just after a failover most machines have not reported yet. A task placed on the first that has would often fetch its
     * image for half a minute, though one that has the image reports within a second or two.
     */
    private inner class Settling(
        nowMs: Long,
    ) {
        private val lasts = nowMs - cluster.replayedAtMs < cluster.timings.settleMs
        private val pendingPredecessors = HashMap<Pair<String, Boolean>, Boolean>()

        fun of(job: Job): Boolean {
            if (!lasts) return false
            val spec = job.spec
            return pendingPredecessors.getOrPut(spec.image to spec.spot) {
                cluster.machines.values.any { unproven(it) && it.hasImage(spec.image) && (!it.spot || spec.spot) }
            }
        }
    }

    /** Not heard of since the failover, or only by what may be a late copy: most likely it will be fit for tasks in a moment. */
    private fun unproven(m: Machine) = m.state == MachineState.PROVISIONING || (m.state == MachineState.UP && m.termSeen < m.requiredTerm)

    /** What the searches for places of one round have in common. */
    private class Search(
        val open: List<Machine>,
        val number: Long,
        val reserve: ReplicaReserve,
        val nowMs: Long,
    ) {
        val exhausted = ExhaustedSearches()
    }

    private inline fun place(
        job: Job,
        search: Search,
        most: Int,
        worst: Int,
        patienceS: Double,
        candidates: () -> List<Machine>,
    ): Int {
        val allowed = minOf(most, cluster.quotas.allowance(job.spec), job.schedulableTasks)
        if (allowed <= 0 || search.exhausted.covers(job, worst, patienceS)) return 0
        val planned = place(job, search, candidates(), allowed, worst, patienceS)
        if (planned < allowed) search.exhausted.note(job, worst, patienceS)
        return planned
    }

    private fun place(
        job: Job,
        search: Search,
        candidates: List<Machine>,
        allowed: Int,
        worst: Int,
        patienceS: Double,
    ): Int {
        val spec = job.spec
        val open = search.open
        val reserve = search.reserve
        val number = search.number
        val nowMs = search.nowMs
        if (candidates.isEmpty()) return 0
        // A gang goes as a whole: not before its last attempts are gone, and only if there is room for all.
        if (spec.shape == Shape.GANG && (job.activeAttempts.isNotEmpty() || allowed < job.waitingCount)) return 0
        val zones = ZoneConstraint(job, open)
        // A machine that failed it is tried again only if few others could hold it.
        val avoided = if (job.failedOn.isNotEmpty() && fewFailed(job, open, zones)) job.failedOn else emptySet()
        val fitting = candidates.filter { it.id !in avoided && mayHold(job, it) && zones.allows(it.zone) }
        if (spec.shape == Shape.GANG && fitting.sumOf { roomFor(spec, it.freeCpus, it.freeGpus, it.freeMemoryGb) } < job.waitingCount) return 0
        val inReach = fitting.filter { reaches(it, spec, worst, patienceS) && it.holds(spec.cpus + reserve.margin(it, spec), spec.gpus, spec.memoryGb) }
        val withCapacity = MachineRanking(spec, inReach)
        val tasks = job.waiting(allowed).iterator()
        var planned = 0
        // A task that may displace others prefers room made where its image is to room where it would be fetched.
        val phases = if (job.displacingPriority < Priority.NORMAL) URGENT_PHASES else PLAIN_PHASES
        for (phase in phases) {
            if (!tasks.hasNext()) break
            val limit = minOf(phase.worstImage, worst)
            if (phase.displacing) {
                val places = MachineRanking(spec, fitting.filter { ImageRank.of(it, spec.image) <= limit })
                while (tasks.hasNext()) {
                    val m = displace(job, places.filter { zones.allows(it.machine.zone) }, nowMs) ?: break
                    plan(job, tasks.next(), number, m, nowMs)
                    zones.placed(m.zone)
                    planned++
                }
            } else {
                for (r in withCapacity) {
                    if (!tasks.hasNext()) break
                    if (r.image > limit) continue
                    val m = r.machine
                    if (r.image != ImageRank.THERE && m.fetchS(spec.image, spec.imageGb) > patienceS) continue
                    val most = if (phase.spreading && spec.shape == Shape.SERVICE) m.type.cpus * PlacementConstants.SPREAD_CPU_FRACTION else m.type.cpus
                    while (
                        tasks.hasNext() &&
                        m.serviceCpus + spec.cpus <= most &&
                        m.holds(spec.cpus + reserve.margin(m, spec), spec.gpus, spec.memoryGb) &&
                        zones.allows(m.zone)
                    ) {
                        reserve.taken(m, spec.cpus)
                        plan(job, tasks.next(), number, m, nowMs)
                        zones.placed(m.zone)
                        planned++
                    }
                }
            }
        }
        if (spec.shape == Shape.GANG && job.waitingCount > 0) {
            job.activeAttempts.toList().forEach { cluster.stop(it, nowMs, "the rest of its gang has no room") }
            return 0
        }
        return planned
    }

    /** Whether the image is near enough to [m] for a task that goes as far as [worst] and [patienceS]. */
    private fun reaches(
        m: Machine,
        spec: JobSpec,
        worst: Int,
        patienceS: Double,
    ): Boolean {
        val image = ImageRank.of(m, spec.image)
        return image == ImageRank.THERE || (image <= worst && m.fetchS(spec.image, spec.imageGb) <= patienceS)
    }

    private fun fewFailed(
        job: Job,
        open: List<Machine>,
        zones: ZoneConstraint,
    ) = job.failedOn.size < open.count { mayHold(job, it) && zones.allows(it.zone) } / 2

    private fun mayHold(
        job: Job,
        m: Machine,
    ): Boolean {
        val spec = job.spec
        return m.type.name in job.compatibleTypes && (spec.types == null || m.type.name in spec.types) && (!m.spot || spec.spot)
    }

    /** A try at placing: the worst rank of image allowed, and whether to displace others or to spread replicas. */
    private class Phase(
        val worstImage: Int,
        val displacing: Boolean = false,
        val spreading: Boolean = false,
    )

    private fun plan(
        job: Job,
        index: Int,
        number: Long,
        m: Machine,
        nowMs: Long,
    ) {
        cluster.attemptUsed(number)
        cluster.occupy(job, index, number, m, m.incarnation)
        job.lastPlanAtMs = nowMs
        if (job.spec.shape == Shape.SERVICE) {
            log("placing ${job.spec.id}/$index on ${m.id}, image ${if (m.hasImage(job.spec.image)) "there" else "to fetch"}")
        }
    }

    /** Stops work of lower priority on the machine where least is lost, if that makes room for one task of [job]. */
    private fun displace(
        job: Job,
        fitting: List<RankedMachine>,
        nowMs: Long,
    ): Machine? {
        var best: List<Attempt>? = null
        var bestCost = Double.MAX_VALUE
        for (r in fitting) {
            val victims = victims(job, r.machine) ?: continue
            val cost = victims.sumOf { (nowMs - it.changedAtMs) / 1000.0 * it.job.spec.cpus } + r.image * IMAGE_COST
            if (cost < bestCost) {
                best = victims
                bestCost = cost
            }
        }
        val chosen = best ?: return null
        val m = chosen.first().machine
        chosen.forEach { cluster.stop(it, nowMs, "room for ${job.spec.id} of priority ${job.displacingPriority}") }
        return m
    }

    private fun victims(
        job: Job,
        m: Machine,
    ): List<Attempt>? {
        val spec = job.spec
        var cpus = m.freeCpus
        var gpus = m.freeGpus
        var memory = m.freeMemoryGb
        // Room of tasks that are being stopped anyway is taken already by what displaced them.
        val candidates =
            m.attempts
                .filter { it.job.priority > job.displacingPriority && it.state in DISPLACEABLE }
                .sortedByDescending { it.changedAtMs }
        val chosen = ArrayList<Attempt>()
        for (a in candidates) {
            if (cpus >= spec.cpus && gpus >= spec.gpus && memory >= spec.memoryGb) break
            chosen.add(a)
            cpus += a.job.spec.cpus
            gpus += a.job.spec.gpus
            memory += a.job.spec.memoryGb
        }
        val enough = cpus >= spec.cpus && gpus >= spec.gpus && memory >= spec.memoryGb
        return chosen.takeIf { enough && it.isNotEmpty() }
    }

    private companion object {
        /** Cost, in CPU seconds of lost work, of a place where the image must still be fetched. */
        const val IMAGE_COST = 30.0

        val PLAIN_PHASES = listOf(Phase(ImageRank.ANYWHERE))

        /**
         * Replicas fill a machine to a share only, as long as others will do: packed on the fullest, twenty of them went with
         * one machine, and their image was on so few machines that each later one waited for a fetch of its own.
         */
        val URGENT_PHASES =
            listOf(
                Phase(ImageRank.THERE, spreading = true),
                Phase(ImageRank.THERE),
                Phase(ImageRank.THERE, displacing = true),
                Phase(ImageRank.FETCHING, spreading = true),
                Phase(ImageRank.ANYWHERE, spreading = true),
                Phase(ImageRank.FETCHING),
                Phase(ImageRank.ANYWHERE),
                Phase(ImageRank.ANYWHERE, displacing = true),
            )
        val DISPLACEABLE = setOf(AttemptState.STARTING, AttemptState.PULLING, AttemptState.RUNNING)
    }
}
