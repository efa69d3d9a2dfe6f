package mintfield.core.fleet

import mintfield.core.jobs.Attempt
import mintfield.core.jobs.AttemptState
import mintfield.core.model.Heartbeat
import mintfield.core.model.MachineType
import mintfield.core.model.Shape

enum class MachineState {
    /** Rented; its worker has not reported to this leader. */
    PROVISIONING,

    /** Reports. */
    UP,

    /** Has reported, but not lately. Takes no new tasks; what it holds stays its own until proof of release. */
    UNRESPONSIVE,

    /** To be returned: takes no new tasks. */
    RELEASING,

    /** Return asked of the cloud, answer awaited. */
    TERMINATING,

    /** The cloud confirmed that it and everything on it are gone. */
    TERMINATED,

    /** Another share owns it. What is planned there stays so until its owner has told what became of it. */
    OWNED_ELSEWHERE,
}

/** A provisioned machine as the leader knows it, with the attempts that occupy it. */
class Machine(
    val id: String,
    val type: MachineType,
    val zone: String,
    val spot: Boolean,
) {
    var state = MachineState.PROVISIONING
        private set
    var stateSinceMs = 0L
        private set
    var address: String? = null
    var incarnation = 0L
    var sequence = 0L
    var termSeen = 0L
    var lastContactAtMs = NEVER

    /** When its last heartbeat of its own came, and not in answer to a command: only those are answered, which renews its lease. */
    var lastHeartbeatAtMs = NEVER

    /** When its lease last began, at the latest: a heartbeat of it was answered, which may have reached it, or a incarnation showed. */
    var leaseRenewedAtMs = NEVER

    /** Whether our answers and commands reach it. */
    val reachability = Reachability()

    /**
     * Lowest term that its worker must have seen for tasks to be planned here. A new leader cannot tell a late copy of an
     * old heartbeat from a new one, and the machine that sent it may be long gone; what has seen our term lives in our tenure.
     */
    var requiredTerm = 0L

    /** Known only by name, from a plan: type, zone and kind are guesses until a heartbeat or the list tells them. */
    var provisional = false
    var firstSeenAtMs = 0L
    var firstListedAtMs = NEVER
    var listedAtMs = NEVER

    /** When the cloud will take it, if it has said so. */
    var terminationAtMs: Long? = null

    /**
     * Highest term of a direct start to this machine that may still be under way. Nothing is cleared or taken for absent
     * there until the worker has seen a higher term, since a late copy could start a task again.
     */
    var unacknowledgedTerm = 0L
    var directInFlight = false

    /** Its last heartbeat came by way of a peer: most likely nothing that is sent to it straight would arrive. */
    var relayed = false

    /** That is so because it was sent there, so it may well be reached. */
    var viaRelayPeer = false
    var directPausedUntilMs = 0L

    /** Lowest token of commands to it: the revision at which it became this leader's, 0 while one leader owns all. */
    var epoch = 0L

    /** When it was adopted from another owner: with tasks most likely, so it must report soon. */
    var adoptedAtMs = NEVER

    val attempts = LinkedHashSet<Attempt>()

    /** Tasks here whose jobs another share's leader schedules. */
    val foreignTasks = ForeignTasks()

    /** Attempts by state, and by image: asked for at every round, so never counted anew. */
    private val byState = IntArray(AttemptState.entries.size)
    private val byImage = HashMap<String, Int>()

    /** Images that tasks here wait for, with their sizes. */
    private val fetching = HashMap<String, Double>()

    /** CPUs that replicas of services occupy here. */
    var serviceCpus = 0.0
        private set

    /**
     * The last heartbeat agreed with what is planned and left nothing to order. Until an attempt here changes or another
     * list of tasks comes, there is nothing to do.
     */
    var reconciled = false
    var cpus = 0.0
        private set
    var gpus = 0.0
        private set
    var memoryGb = 0.0
        private set

    var lastHeartbeat: Heartbeat? = null

    /** Failures since the last success, and the jobs that they struck of which it is not known whether they can succeed. */
    val suspectJobs = HashSet<String>()
    var failures = 0

    /** Of those, the ones of jobs whose tasks succeed elsewhere. */
    var attributedFailures = 0

    /** No tasks before that, since it does not hear well or refused some. */
    var backoffUntilMs = 0L

    /** No tasks before that, since it fails them. */
    var quarantinedUntilMs = 0L

    private val images = LinkedHashMap<String, Double>(16, 0.75f, true)
    private var imagesGb = 0.0

    val freeCpus: Double get() = type.cpus - cpus - foreignTasks.cpus
    val freeGpus: Double get() = type.gpus - gpus - foreignTasks.gpus
    val freeMemoryGb: Double get() = type.memoryGb - memoryGb - foreignTasks.memoryGb

    /** Whether any task holds room here. */
    val inUse: Boolean get() = attempts.isNotEmpty() || !foreignTasks.isEmpty

    /** The only place where a machine changes its state. */
    fun moveTo(
        next: MachineState,
        nowMs: Long,
    ) {
        if (next == state) return
        check(next in allowed.getValue(state)) { "$id: $state to $next" }
        state = next
        stateSinceMs = nowMs
    }

    fun occupy(a: Attempt) {
        if (!attempts.add(a)) return
        reconciled = false
        byState[a.state.ordinal]++
        byImage.merge(a.job.spec.image, 1, Int::plus)
        if (!hasImage(a.job.spec.image)) fetching[a.job.spec.image] = a.job.spec.imageGb
        if (a.job.spec.shape == Shape.SERVICE) serviceCpus += a.job.spec.cpus
        cpus += a.job.spec.cpus
        gpus += a.job.spec.gpus
        memoryGb += a.job.spec.memoryGb
    }

    fun vacate(a: Attempt) {
        if (!attempts.remove(a)) return
        reconciled = false
        // Used until now: reading it makes it the latest.
        images[a.job.spec.image]
        byState[a.state.ordinal]--
        byImage.computeIfPresent(a.job.spec.image) { _, n -> if (n > 1) n - 1 else null }
        if (!awaitsImage(a.job.spec.image)) fetching.remove(a.job.spec.image)
        if (a.job.spec.shape == Shape.SERVICE) serviceCpus -= a.job.spec.cpus
        if (attempts.isEmpty()) {
            serviceCpus = 0.0
            cpus = 0.0
            gpus = 0.0
            memoryGb = 0.0
            return
        }
        cpus -= a.job.spec.cpus
        gpus -= a.job.spec.gpus
        memoryGb -= a.job.spec.memoryGb
    }

    /** An attempt here changes its state. */
    fun counted(
        from: AttemptState,
        to: AttemptState,
    ) {
        reconciled = false
        byState[from.ordinal]--
        byState[to.ordinal]++
    }

    fun count(state: AttemptState): Int = byState[state.ordinal]

    /** Whether a task that needs [image] is planned or at work here, so that the image is there or on its way. */
    fun awaitsImage(image: String) = byImage.containsKey(image)

    fun holds(
        cpus: Double,
        gpus: Double,
        memoryGb: Double,
    ) = cpus <= freeCpus + EPSILON && gpus <= freeGpus + EPSILON && memoryGb <= freeMemoryGb + EPSILON

    /** Notes that [image] is on the machine, dropping the least recently used ones as the worker would. */
    fun imageUsed(
        image: String,
        gb: Double,
    ) {
        if (images.get(image) != null) return
        images[image] = gb
        fetching.remove(image)
        imagesGb += gb
        val oldest = images.entries.iterator()
        while (imagesGb > type.cacheGb && oldest.hasNext()) {
            val entry = oldest.next()
            // What a task here needs is in use, however long ago we heard of it.
            if (entry.key == image || awaitsImage(entry.key)) continue
            imagesGb -= entry.value
            oldest.remove()
        }
    }

    fun hasImage(image: String) = images.containsKey(image)

    /** Seconds until [image] is here, if all fetches of this machine share its rate. */
    fun fetchS(
        image: String,
        gb: Double,
    ): Double {
        if (hasImage(image)) return 0.0
        val gbBefore = fetching.values.sum() + if (image in fetching) 0.0 else gb
        return gbBefore / maxOf(type.fetchGbPerS, 1e-6)
    }

    /** Images on the machine with their sizes, the least recently used first. */
    val cachedImages: Map<String, Double> get() = images

    /** Whether it is, or will most likely be, of use for a while. */
    val expectedToLast: Boolean
        get() =
            (state == MachineState.UP || state == MachineState.PROVISIONING) &&
                terminationAtMs == null &&
                reachability.state != ReachabilityState.UNREACHABLE

    /** Whether a task may be planned here now. */
    fun open(
        nowMs: Long,
        freshMs: Long,
    ): Boolean =
        state == MachineState.UP &&
            terminationAtMs == null &&
            termSeen >= requiredTerm &&
            reachability.isReachable &&
            nowMs >= backoffUntilMs &&
            nowMs >= quarantinedUntilMs &&
            nowMs - lastHeartbeatAtMs < freshMs

    companion object {
        const val NEVER = Long.MIN_VALUE / 4
        private const val EPSILON = 1e-6
        private val allowed =
            mapOf(
                MachineState.PROVISIONING to setOf(MachineState.UP, MachineState.RELEASING, MachineState.TERMINATED, MachineState.OWNED_ELSEWHERE),
                MachineState.UP to setOf(MachineState.UNRESPONSIVE, MachineState.RELEASING, MachineState.TERMINATED, MachineState.OWNED_ELSEWHERE),
                MachineState.UNRESPONSIVE to setOf(MachineState.UP, MachineState.RELEASING, MachineState.TERMINATED, MachineState.OWNED_ELSEWHERE),
                MachineState.RELEASING to setOf(MachineState.UP, MachineState.TERMINATING, MachineState.TERMINATED),
                MachineState.TERMINATING to setOf(MachineState.RELEASING, MachineState.TERMINATED),
                MachineState.TERMINATED to emptySet(),
                MachineState.OWNED_ELSEWHERE to setOf(MachineState.PROVISIONING, MachineState.TERMINATED),
            )
    }
}
