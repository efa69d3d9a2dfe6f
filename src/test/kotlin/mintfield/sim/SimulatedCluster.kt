package mintfield.sim

import mintfield.core.jobs.RoundKey
import mintfield.core.model.JobPhase
import mintfield.core.model.JobSpec
import mintfield.core.model.TaskId

/**
 * The core with a simulated store, cloud, network and workers. Messages are delayed, lost or repeated, and leaders are replaced
 * while the former ones continue to act. After every event [RuleChecker] checks the rules of the protocol. A run is determined by
 * the seed and the script that a test writes with the functions of this class. All times are milliseconds of simulated time.
 */
class SimulatedCluster(
    seed: Int,
    defects: InjectedDefects = InjectedDefects(),
    /** Milliseconds by which tasks run longer than their usual time. */
    extraRunTimeMs: Long = 0,
    /** Milliseconds after the start until which [RandomFaults] are injected; 0 for no random faults. */
    randomFaultsUntilMs: Long = Long.MAX_VALUE,
) : SimulatedStore.Listener {
    private val context = SimulationContext(seed, defects)
    private val leaders = SimulatedLeaders()
    private val store = SimulatedStore(context, leaders, this)
    private val watch = SimulatedWatch(context, leaders, store)
    private val controllers = SimulatedControllers(context, leaders, store)
    private val cloud = SimulatedCloud(context, extraRunTimeMs, ::taskStarted)
    private val checker = RuleChecker(context, leaders, store, cloud)

    /** The connection between workers and leaders. */
    val network = SimulatedNetwork(context, leaders, cloud)

    /** The connection between leaders and the store. */
    val transactions = TransactionDelivery(context, leaders, store, ::cancelNow)
    private val leaderLoop = LeaderLoop(context, leaders, store, cloud, controllers, network, transactions)
    private val randomFaults = RandomFaults(context, cloud, leaderLoop::elect, randomFaultsUntilMs)

    /** Simulated time. */
    val nowMs: Long get() = context.nowMs

    /** Number of task starts on workers so far. */
    val starts: Int get() = checker.starts

    /** Number of puts and deletes sent to the store. */
    val writes: Int get() = store.writes

    /** Number of tasks that workers ended because their lease expired. */
    val tasksLostWithLease: Int get() = cloud.workers.sumOf { it.tasksLostWithLease }

    /** Final states by job. */
    val finalStates: Map<String, JobPhase> get() = store.finalStates

    /** Jobs that have neither ended nor been cancelled. */
    val unfinishedJobs: Set<String> get() = store.jobs.filter { !it.value.cancelled }.keys

    /** Keys of the round records, in the order of their revisions, in which versions before [RoundKey] replay them; one list for each transaction. */
    val roundKeysByRevision: List<List<RoundKey>>
        get() =
            store.rounds.entries
                .groupBy { it.value.revision }
                .toSortedMap()
                .map { (revision, rounds) -> rounds.map { RoundKey.parse(it.key, revision) } }

    /** Jobs whose record the store still contains. */
    val recordedJobs: Set<String> get() = store.jobs.keys

    init {
        repeat(INITIAL_MACHINES) { cloud.addMachine(if (it % 2 == 0) "north" else "south", spot = it >= FIRST_SPOT) }
    }

    // ---- functions for the script of a test ----

    /** Runs [action] [sinceStartMs] after the start of the simulation. */
    fun at(
        sinceStartMs: Long,
        action: SimulatedCluster.() -> Unit,
    ) = context.queue.at(sinceStartMs) { action() }

    /** A user submits [spec] [sinceStartMs] after the start of the simulation. */
    fun submit(
        spec: JobSpec,
        sinceStartMs: Long,
    ) = at(sinceStartMs) {
        checker.submitted(spec)
        store.submit(spec)
        watch.jobChanged(spec.id)
    }

    /** A user cancels job [id] [sinceStartMs] after the start of the simulation. */
    fun cancel(
        id: String,
        sinceStartMs: Long,
    ) = at(sinceStartMs) { cancelNow(id) }

    /** A user cancels job [id]; in a store outage the user retries until it succeeds. */
    fun cancelNow(id: String) {
        val job = store.jobs[id]?.takeIf { !it.cancelled } ?: return
        if (!store.available) return context.after(CANCEL_RETRY_MS) { cancelNow(id) }
        val shown = !context.defects.hideCancellations
        if (shown) controllers.confirmCancellation(id)
        store.cancel(job)
        watch.jobChanged(id)
        // Any controller may immediately confirm to users that the dependent jobs are cancelled too.
        if (shown) store.dependents(id).forEach { if (context.chance(CONFIRMED_DEPENDENTS_FRACTION)) controllers.confirmCancellation(it) }
    }

    /** Applies [action] to the worker of each machine that is alive, only in [zone] if it is not null. */
    fun forEachMachine(
        zone: String? = null,
        action: (SimWorker) -> Unit,
    ) = cloud.workers.filter { it.alive && (zone == null || it.zone == zone) }.forEach(action)

    /** The leader crashes; [electionAfterMs] later another controller, or the same one, is elected. */
    fun crashLeader(electionAfterMs: Long) {
        leaders.current = null
        context.after(electionAfterMs) { if (leaders.current == null) leaderLoop.elect() }
    }

    /**
     * Partitions the leader from the store and its peers for [durationMs]. The workers in zone `north` continue to send their
     * heartbeats to it. Another leader is elected once the lease of the partitioned one has expired.
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

    /** The store serves no request for [durationMs]. */
    fun storeOutage(durationMs: Long) {
        store.available = false
        context.after(durationMs) {
            store.available = true
            if (leaders.current == null) leaderLoop.elect()
        }
    }

    /**
     * From [sinceStartMs] on, the store refuses only the leader; two seconds later an outage begins that lasts longer than the
     * tasks of a cancelled job may continue to run. Drawn at random, all peers or one peer stop responding to the leader, one peer
     * restarts, or both peers respond.
     */
    fun refuseLeaderBeforeOutage(sinceStartMs: Long) {
        at(sinceStartMs) {
            store.refusedLeader = leaders.current
            when (context.random.nextInt(4)) {
                0 -> controllers.makeAllUnresponsive()
                1 -> controllers.makeOneUnresponsive()
                2 -> context.after(context.random.nextLong(1_900, 4_000)) { controllers.restartOne() }
                else -> {}
            }
        }
        at(sinceStartMs + 2_000) { store.available = false }
        at(sinceStartMs + 55_000) {
            store.available = true
            store.refusedLeader = null
            controllers.makeAllResponsive()
        }
    }

    // ---- run ----

    /** Runs until [sinceStartMs] after the start of the simulation; throws [RuleViolation] when a rule is violated. */
    fun run(sinceStartMs: Long) {
        leaderLoop.elect()
        stepWorkers()
        randomFaults.start()
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

    /** The leader's view of jobs and machines, and the actual state of the workers, for the message of a failed test. There must be a leader. */
    fun describeState(): String {
        val scheduler = leaders.current!!.scheduler
        val machines =
            scheduler.cluster.machines.values.joinToString("\n") { machine ->
                "${machine.id} ${machine.state} ${machine.zone} provisional=${machine.provisional} term ${machine.termSeen}: " +
                    machine.attempts.joinToString { "${it.job.spec.id}/${it.index} ${it.state}" }
            }
        val workers = cloud.workers.joinToString("\n") { "${it.id} alive=${it.alive} ${it.zone} ${it.activeTasks()}" }
        return scheduler.summary(nowMs) + "\n" + machines + "\n" + workers
    }

    /** The log lines of all active leaders. */
    fun logs(): String = leaders.all().joinToString("\n") { it.log.joinToString("\n") }

    companion object {
        /** Duration of most simulations in milliseconds. */
        const val DURATION_MS = 120_000L

        /** Initial number of machines; those with an index of [FIRST_SPOT] or more are spot machines. */
        private const val INITIAL_MACHINES = 6
        private const val FIRST_SPOT = 4

        /** Interval of the steps of the workers in milliseconds. */
        private const val STEP_MS = 100L

        private const val CANCEL_RETRY_MS = 1_000L

        /** Milliseconds from the partition of a leader to the next election; longer than the leader's lease. */
        private const val ELECTION_AFTER_PARTITION_MS = 3_600L

        /** Fraction of the dependents of a cancelled job whose cancellation is confirmed to users immediately. */
        private const val CONFIRMED_DEPENDENTS_FRACTION = 0.7
    }
}
