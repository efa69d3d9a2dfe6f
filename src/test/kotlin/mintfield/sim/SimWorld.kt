package mintfield.sim

import mintfield.core.model.JobPhase
import mintfield.core.model.JobSpec
import mintfield.core.model.TaskId

/**
 * The core against a simulated store, cloud, network and workers: messages come late, never or again, and leaders are
 * replaced while the old ones go on. After every event [RuleChecker] checks the protocol's rules. All of it follows from the
 * seed and the script that a test writes with the functions of this class. All times are in milliseconds of simulated time.
 */
class SimWorld(
    seed: Int,
    faults: PlantedFaults = PlantedFaults(),
    /** Milliseconds that tasks run beyond their usual time. */
    extraRunTimeMs: Long = 0,
    /** Troubles drawn at random come until then; 0 for none. */
    troublesUntilMs: Long = Long.MAX_VALUE,
) : SimulatedStore.Listener {
    private val context = SimulationContext(seed, faults)
    private val leaders = SimulatedLeaders()
    private val store = SimulatedStore(context, leaders, this)
    private val watch = SimulatedWatch(context, leaders, store)
    private val peers = SimulatedPeers(context, leaders)
    private val cloud = SimulatedCloud(context, extraRunTimeMs, ::taskStarted)
    private val checker = RuleChecker(context, leaders, store, cloud)

    /** The way between workers and leaders. */
    val network = SimulatedNetwork(context, leaders, cloud)

    /** The way between leaders and the store. */
    val transactions = TransactionDelivery(context, leaders, store, ::cancelNow)
    private val leaderLoop = LeaderLoop(context, leaders, store, cloud, peers, network, transactions)
    private val troubles = RandomTroubles(context, cloud, leaderLoop::elect, troublesUntilMs)

    /** Simulated time. */
    val nowMs: Long get() = context.nowMs

    /** Starts of tasks on workers so far. */
    val starts: Int get() = checker.starts

    /** Puts and deletes that the store was asked for. */
    val writes: Int get() = store.writes

    /** Tasks that their workers killed when their lease expired. */
    val tasksLostWithLease: Int get() = cloud.workers.sumOf { it.tasksLostWithLease }

    /** Final states by job. */
    val finalStates: Map<String, JobPhase> get() = store.finalStates

    /** Jobs that have neither ended nor been cancelled. */
    val unfinishedJobs: Set<String> get() = store.jobs.filter { !it.value.cancelled }.keys

    /** Jobs of which the store still has more than the final state. */
    val recordedJobs: Set<String> get() = store.jobs.keys

    init {
        repeat(MACHINES) { cloud.addMachine(if (it % 2 == 0) "north" else "south", spot = it >= FIRST_SPOT) }
    }

    // ---- script of a test ----

    /** Runs [action] at [sinceStartMs] after the beginning. */
    fun at(
        sinceStartMs: Long,
        action: SimWorld.() -> Unit,
    ) = context.queue.at(sinceStartMs) { action() }

    /** A user submits [spec] at [sinceStartMs] after the beginning. */
    fun submit(
        spec: JobSpec,
        sinceStartMs: Long,
    ) = at(sinceStartMs) {
        checker.submitted(spec)
        store.submit(spec)
        watch.jobChanged(spec.id)
    }

    /** A user cancels job [id] at [sinceStartMs] after the beginning. */
    fun cancel(
        id: String,
        sinceStartMs: Long,
    ) = at(sinceStartMs) { cancelNow(id) }

    /** A user cancels job [id]; in an outage the user tries again until it succeeds. */
    fun cancelNow(id: String) {
        val job = store.jobs[id]?.takeIf { !it.cancelled } ?: return
        if (!store.available) return context.after(CANCEL_RETRY_MS) { cancelNow(id) }
        val shown = !context.faults.hideCancellations
        if (shown) peers.confirmCancellation(id)
        store.cancel(job)
        watch.jobChanged(id)
        // Any controller may confirm at once to users that the dependent jobs are cancelled too.
        if (shown) store.dependents(id).forEach { if (context.chance(CONFIRMED_DEPENDENTS_SHARE)) peers.confirmCancellation(it) }
    }

    /** Does [action] to the worker of each machine that is alive, in [zone] if given. */
    fun forEachMachine(
        zone: String? = null,
        action: (SimWorker) -> Unit,
    ) = cloud.workers.filter { it.alive && (zone == null || it.zone == zone) }.forEach(action)

    /** The leader crashes; another one is elected [electionAfterMs] later, or the same controller again. */
    fun crashLeader(electionAfterMs: Long) {
        leaders.current = null
        context.after(electionAfterMs) { if (leaders.current == null) leaderLoop.elect() }
    }

    /**
     * The leader loses the store and its peers for [durationMs], but not its workers, of which those in the north stay with
     * it; another one is elected when its lease has expired.
     */
    fun partitionLeader(durationMs: Long) {
        val leader = leaders.current ?: return
        leaders.partitioned.add(leader)
        context.after(ELECTION_AFTER_PARTITION_MS) {
            if (leaders.current === leader) {
                leaders.current = null
                leaderLoop.elect()
                leaders.deposed.add(leader)
            }
        }
        context.after(durationMs) {
            leaders.partitioned.remove(leader)
            leaders.deposed.remove(leader)
        }
    }

    /** The store serves nobody for [durationMs]. */
    fun storeOutage(durationMs: Long) {
        store.available = false
        context.after(durationMs) {
            store.available = true
            if (leaders.current == null) leaderLoop.elect()
        }
    }

    /**
     * At [sinceStartMs] the store refuses the leader alone, and two seconds later everybody, for longer than the tasks of a
     * cancelled job may go on. The peers may be silent to the leader from then on, one of them newly started, or both answer.
     */
    fun refuseLeaderBeforeOutage(sinceStartMs: Long) {
        at(sinceStartMs) {
            store.refusedLeader = leaders.current
            when (context.random.nextInt(4)) {
                0 -> peers.silenceAll()
                1 -> peers.silenceOne()
                2 -> context.after(context.random.nextLong(1_900, 4_000)) { peers.restartOne() }
                else -> {}
            }
        }
        at(sinceStartMs + 2_000) { store.available = false }
        at(sinceStartMs + 55_000) {
            store.available = true
            store.refusedLeader = null
            peers.endSilence()
        }
    }

    // ---- run ----

    /** Runs until [sinceStartMs] after the beginning; throws [RuleViolation] when a rule is broken. */
    fun run(sinceStartMs: Long) {
        leaderLoop.elect()
        stepWorkers()
        troubles.begin()
        context.queue.runUntil(sinceStartMs, checker::check)
    }

    private fun stepWorkers() {
        network.stepWorkers()
        checker.recordCompletions()
        context.after(STEP_MS, ::stepWorkers)
    }

    private fun taskStarted(
        worker: SimWorker,
        task: TaskId,
    ) {
        checker.started(worker, task)
    }

    override fun jobChanged(id: String) = watch.jobChanged(id)

    override fun jobRecordDeleting(id: String) = checker.checkRecordDeletion(id)

    /** What the leader believes and what the workers hold, for the message of a failed test. */
    fun state(): String {
        val scheduler = leaders.current!!.scheduler
        val machines =
            scheduler.cluster.machines.values.joinToString("\n") { machine ->
                "${machine.id} ${machine.state} ${machine.zone} guessed=${machine.provisional} term ${machine.termSeen}: " +
                    machine.attempts.joinToString { "${it.job.spec.id}/${it.index} ${it.state}" }
            }
        val workers = cloud.workers.joinToString("\n") { "${it.id} alive=${it.alive} ${it.zone} ${it.activeTasks()}" }
        return scheduler.summary(nowMs) + "\n" + machines + "\n" + workers
    }

    /** The log lines of all that act as leaders. */
    fun logs(): String = leaders.all().joinToString("\n") { it.log.joinToString("\n") }

    companion object {
        /** Milliseconds that most simulations last. */
        const val LENGTH_MS = 120_000L

        /** Machines at the beginning; the ones from [FIRST_SPOT] on are spot machines. */
        private const val MACHINES = 6
        private const val FIRST_SPOT = 4

        /** Milliseconds between two steps of the workers. */
        private const val STEP_MS = 100L

        private const val CANCEL_RETRY_MS = 1_000L

        /** Milliseconds from the partition of a leader to the election of the next, after its lease has expired. */
        private const val ELECTION_AFTER_PARTITION_MS = 3_600L

        /** Fraction of the jobs that depend on a cancelled one whose cancellation is confirmed to users at once. */
        private const val CONFIRMED_DEPENDENTS_SHARE = 0.7
    }
}
