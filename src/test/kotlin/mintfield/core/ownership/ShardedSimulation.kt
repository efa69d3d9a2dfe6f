package mintfield.core.ownership

import mintfield.Fixtures
import mintfield.core.CloudCall
import mintfield.core.Commit
import mintfield.core.CommitResult
import mintfield.core.DirectCall
import mintfield.core.HeartbeatResponse
import mintfield.core.ScaleOutIntent
import mintfield.core.Scheduler
import mintfield.core.Write
import mintfield.core.fleet.ListedMachine
import mintfield.core.fleet.MachineStage
import mintfield.core.fleet.ZoneFence
import mintfield.core.jobs.RoundKey
import mintfield.core.jobs.RoundRecord
import mintfield.core.model.AcceptedJob
import mintfield.core.model.ExitReason
import mintfield.core.model.JobSpec
import mintfield.core.model.TaskId
import mintfield.core.model.Team
import mintfield.core.model.WorkerCommand
import mintfield.sim.SimWorker
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Simulation of the leaders of several shards with a common store, cloud and workers, while machines move between shards all the time.
 * Leaders are replaced while their predecessors continue to run, transactions lose their responses or are applied late, and messages are
 * delayed or lost. The invariants are checked after every event. Deterministic for a given [seed].
 */
class ShardedSimulation(
    seed: Int,
    private val injectsFaults: Boolean = true,
    private val disabledGuards: DisabledGuards = DisabledGuards(),
) {
    /** Safety guards that are disabled, to test that the invariant checks detect their absence. */
    class DisabledGuards(
        val ignoresEpochs: Boolean = false,
        val ignoresPendingReleases: Boolean = false,
        val ignoresNoHeartbeatYet: Boolean = false,
        val stopsForeignTasks: Boolean = false,
        val omitsBlockPreconditions: Boolean = false,
    )

    class Violation(
        rule: String,
    ) : AssertionError(rule)

    private class Event(
        val at: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private inner class Leader(
        val shard: String,
        term: Long,
    ) {
        val table = AssignmentTable()
        val ownership = ShardOwnership(shard, table) { id -> live[id]?.spec?.takeIf { shardOf(it) != shard } }
        val schedulerOwnership: Ownership =
            object : Ownership by ownership {
                override fun owns(machine: String) =
                    if (disabledGuards.ignoresPendingReleases) table.assignment(machine).entitles(shard) else ownership.owns(machine)

                override fun epoch(machine: String) = if (disabledGuards.ignoresEpochs) 0 else ownership.epoch(machine)

                override fun foreignSpec(job: String) = if (disabledGuards.stopsForeignTasks) null else ownership.foreignSpec(job)
            }
        val log = ArrayList<String>()
        val scheduler = Scheduler(settings, term, { live[it]?.cancelled == true }, schedulerOwnership) { log.add("$now $shard $it") }
        private val rebalancer = Rebalancer(shard, scheduler.cluster, table, shards, loads)
        val meter = LoadMeter(scheduler.cluster)
        val agent =
            HandoverAgent(
                ownership,
                table,
                scheduler,
                shards,
                WeightedClaims(
                    shard,
                    SHARDS.map {
                        ShardSettings(it, "", emptyList())
                    },
                    shards::isLive,
                ),
                { rebalancer.transfers(it, SHARDS) },
            ) { log.add("$now $shard $it") }
        val responder = ForeignTaskResponder(scheduler)
        val remoteTasks = RemoteTaskTracker(scheduler)
        var committing = false
        var assigning = false
        var servedAt = now

        /** The store no longer serves the leader, so its lease expires. */
        var cutOff = false
        val mayAct get() = now - servedAt < LEASE_MS && !paused
        var paused = false
    }

    private val random = Random(seed)

    /** Fraction of the direct commands that arrive once more after they were carried out and answered. */
    var repeatedCallFraction = 0.0

    /** Number of direct commands that have arrived once more. */
    var repeatedCalls = 0
        private set
    private val queue = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private var order = 0L
    private var now = START_MS
    private val settings = Fixtures.settings.copy(teams = Fixtures.settings.teams + Team("third", 0.0, 0.0, 0.0, 0.0))
    private val shardByTeam = mapOf("floor" to "s1", "small" to "s2", "third" to "s3")

    // The store.
    private var revision = 10L
    private val leaderKeys = HashMap<String, Long>()
    private val blocks = HashMap<Int, AssignmentBlock>()
    private val live = LinkedHashMap<String, AcceptedJob>()
    private val rounds = HashMap<String, Triple<String, Long, RoundRecord>>()
    private val intents = LinkedHashMap<String, Pair<String, ScaleOutIntent>>()
    private val zoneFences = LinkedHashMap<String, Pair<String, ZoneFence>>()

    // The cloud and the workers.
    private val workers = LinkedHashMap<String, SimWorker>()
    private val provisionedMachines = HashMap<String, List<String>>()

    private val leaders = LinkedHashMap<String, Leader>()
    private val staleLeaders = ArrayList<Leader>()

    // Actual events, for the invariant checks.
    private val specs = HashMap<String, JobSpec>()
    private val cancelledAtMs = HashMap<String, Long>()
    private val completedTasks = HashSet<TaskId>()
    private val lastCommandOwner = HashMap<String, Pair<String, Long>>()
    private val finished = HashSet<String>()
    var starts = 0
        private set
    var moves = 0
        private set
    val lostTasks: Int get() = workers.values.sumOf { it.tasksLostWithLease }
    val unfinished: Set<String> get() = live.filter { !it.value.cancelled }.keys
    val recordedJobs: Set<String> get() = live.keys

    private val shards =
        object : Shards {
            override fun isKnown(shard: String) = shard in SHARDS

            override fun isLive(shard: String) = shard in leaderKeys

            override fun spare(shard: String) = MACHINES
        }

    private val loads =
        object : ShardLoads {
            override fun load(shard: String) = leaders[shard]?.meter?.measure()

            override fun weight(shard: String) = ShardSettings.DEFAULT_WEIGHT
        }

    private fun shardOf(spec: JobSpec) = shardByTeam.getValue(spec.team)

    private fun after(
        ms: Long,
        action: () -> Unit,
    ) {
        queue.add(Event(now + ms, order++, action))
    }

    private fun chance(p: Double) = random.nextDouble() < p

    fun submit(
        spec: JobSpec,
        atMs: Long,
    ) {
        queue.add(
            Event(START_MS + atMs, order++) {
                specs[spec.id] = spec
                live[spec.id] = Fixtures.accepted(spec, ++revision, now)
                notifyLeaders(spec.id)
            },
        )
    }

    fun abort(
        id: String,
        atMs: Long,
    ) {
        queue.add(
            Event(START_MS + atMs, order++) {
                val job = live[id]?.takeIf { !it.cancelled } ?: return@Event
                live[id] = job.copy(revision = ++revision, cancelled = true)
                cancelledAtMs[id] = now
                notifyLeaders(id)
            },
        )
    }

    private fun allLeaders() = staleLeaders + leaders.values

    private fun notifyLeaders(id: String) =
        allLeaders().filter { it.shard == shardOf(specs.getValue(id)) }.forEach { leader ->
            after(random.nextLong(5, LAG_MS)) {
                val job = live[id]
                if (job == null) leader.scheduler.jobRemoved(id, now) else leader.scheduler.jobChanged(job, now)
            }
        }

    fun run(untilMs: Long) {
        repeat(MACHINES) { assign(addWorker(if (it % 2 == 0) "north" else "south"), SHARDS[it % SHARDS.size]) }
        SHARDS.forEach(::elect)
        tickWorkers()
        scheduleMove()
        if (injectsFaults) scheduleFault()
        while (now < START_MS + untilMs) {
            val e = queue.poll() ?: break
            now = e.at
            e.action()
            check()
        }
    }

    private fun addWorker(
        zone: String,
        spot: Boolean = false,
    ): String {
        val id = "m-%06d".format(workers.size)
        workers[id] = SimWorker(id, zone, spot, now, 10_000, onStart = ::started)
        return id
    }

    private fun assign(
        machine: String,
        shard: String,
    ) {
        val number = AssignmentTable.blockOf(machine)
        blocks[number] = AssignmentBlock(++revision, blocks[number]?.assignments.orEmpty() + (machine to Assignment.Owned(shard)))
    }

    // ---- moves and faults ----

    private fun storedAssignment(machine: String): Assignment? = blocks[AssignmentTable.blockOf(machine)]?.assignments?.get(machine)

    /** Schedules an operator's order or cancellation of a move, which may be based on an outdated revision. */
    private fun scheduleMove() {
        after(random.nextLong(300, 2_000)) {
            val machine =
                workers.values
                    .filter { it.alive }
                    .random(random)
                    .id
            val number = AssignmentTable.blockOf(machine)
            val known = storedAssignment(machine)
            val revision = blocks[number]?.revision ?: 0
            val step = if (chance(0.25)) Handover.cancel(known) else Handover.order(known, SHARDS.random(random), shards)
            after(random.nextLong(1, 400)) {
                if (step is AssignmentTransition.Allowed &&
                    blocks[number]?.revision == revision
                ) {
                    write(mapOf(machine to step.next))
                }
            }
            scheduleMove()
        }
    }

    private fun write(changes: Map<String, Assignment?>) {
        revision++
        for ((machine, next) in changes) {
            val number = AssignmentTable.blockOf(machine)
            val content = LinkedHashMap(blocks[number]?.assignments.orEmpty())
            if (next is Assignment.Owned && content[machine] is Assignment.Offered && next.owner != content[machine]?.owner) moves++
            if (next == null) content.remove(machine) else content[machine] = next
            blocks[number] = AssignmentBlock(revision, content)
        }
        allLeaders().forEach { leader -> after(random.nextLong(5, LAG_MS)) { updateTable(leader) } }
    }

    private fun updateTable(leader: Leader) {
        blocks.forEach { (number, block) -> leader.table.apply(number, block) }
        leader.table.caughtUp(revision)
    }

    private fun scheduleFault() {
        after(random.nextLong(800, 5_000)) {
            when (random.nextInt(7)) {
                0 -> leaders[SHARDS.random(random)]?.let(::cutOff)
                1 -> crash(SHARDS.random(random))
                2 -> workers.values.random(random).let { it.hungUntilMs = now + random.nextLong(1_000, 15_000) }
                3 -> if (workers.values.count { it.alive } > MACHINES / 2) workers.values.random(random).alive = false
                4 -> workers.values.random(random).nextHeartbeatAtMs = now + random.nextLong(4_000, 14_000)
                5 -> workers.values.random(random).let { it.unreachableUntilMs = now + random.nextLong(500, 20_000) }
                else ->
                    leaders.values.randomOrNull(random)?.let { leader ->
                        leader.paused = true
                        val forMs = random.nextLong(500, 8_000)
                        after(forMs) { leader.paused = false }
                        if (forMs >= LEASE_MS) cutOff(leader)
                    }
            }
            scheduleFault()
        }
    }

    /** Crashes the leader; another one is elected after the leader key has expired. */
    private fun crash(shard: String) {
        leaders.remove(shard) ?: return
        after(LEASE_MS) { leaderKeys.remove(shard) }
        after(LEASE_MS + random.nextLong(50, 12_000)) { elect(shard) }
    }

    /** Cuts the leader off from the store, not from workers. It still receives messages after its lease has expired and a successor leads. */
    private fun cutOff(leader: Leader) {
        leader.cutOff = true
        leaders.remove(leader.shard)
        staleLeaders.add(leader)
        after(LEASE_MS) { leaderKeys.remove(leader.shard) }
        after(LEASE_MS + random.nextLong(1, 2_000)) { elect(leader.shard) }
        after(LEASE_MS + random.nextLong(100, 20_000)) { staleLeaders.remove(leader) }
    }

    /** Elects a new leader, which replays the stored state. */
    private fun elect(shard: String) {
        leaderKeys[shard] = ++revision
        val leader = Leader(shard, revision)
        leaders[shard] = leader
        val s = leader.scheduler
        updateTable(leader)
        zoneFences.values.filter { it.first == shard }.forEach { s.zoneFencing.replay(it.second) }
        s.zoneFencing.recordsRead()
        s.fleet.machineTypesRead(listOf(Fixtures.box), now)
        s.fleet.machinesListed(listing(), false, now)
        live.values.filter { shardOf(it.spec) == shard }.forEach { s.jobChanged(it, now) }
        intents.values.filter { it.first == shard }.forEach { s.replay.intent(it.second) }
        rounds.entries
            .filter { it.value.first == shard }
            .sortedBy { RoundKey.parse(it.key, it.value.second) }
            .forEach { (k, v) -> s.replay.round(k, v.third, v.second, now) }
        s.replay.complete(now)
        loop(leader)
    }

    private fun listing() = workers.values.filter { it.alive && chance(0.9) }.map { ListedMachine(it.id, "box", it.zone, it.spot, MachineStage.RUNNING, 60.0) }

    private fun loop(leader: Leader) {
        if (leaders[leader.shard] !== leader && leader !in staleLeaders) return
        renewLease(leader)
        if (!leader.paused) {
            leader.scheduler.tick(now)
            if (leader.mayAct) act(leader)
        }
        after(random.nextLong(20, 120)) { loop(leader) }
    }

    /** Renews the lease of [leader], or removes its key if the lease has expired during a pause. */
    private fun renewLease(leader: Leader) {
        if (leader.cutOff || leader.paused) return
        if (now - leader.servedAt < LEASE_MS) leader.servedAt = now else cutOff(leader)
    }

    private fun act(leader: Leader) {
        if (!leader.committing) leader.scheduler.nextCommit(now, now, 16)?.let { commit(leader, it) }
        if (!leader.assigning) leader.agent.next(now)?.let { assign(leader, it) }
        leader.scheduler.directCalls(now, 10).forEach { direct(leader, it) }
        leader.scheduler.cloudCall(now)?.let { cloud(leader, it) }
        leader.remoteTasks.dueQueries(now).forEach { ask(leader, it) }
    }

    // ---- the store ----

    /** The times at which a transaction is applied (null: never) and its sender receives the response or times out. */
    private class Fate(
        val appliedAfterMs: Long?,
        val respondedAfterMs: Long,
        val responseLost: Boolean,
    )

    private fun fate(): Fate {
        val usual = random.nextLong(3, 60)
        return when (if (injectsFaults) random.nextInt(20) else NO_FAULT) {
            0 -> Fate(random.nextLong(2_000, 12_000), RESPONSE_TIMEOUT_MS, responseLost = true)
            1 -> Fate(null, RESPONSE_TIMEOUT_MS, responseLost = true)
            2 -> Fate(usual, usual + 50, responseLost = true)
            else -> Fate(usual, usual + random.nextLong(3, 60), responseLost = false)
        }
    }

    private fun commit(
        leader: Leader,
        commit: Commit,
    ) {
        leader.committing = true
        val fate = fate()
        var result: CommitResult = CommitResult.Refused
        val guardRevisions = commit.guardRevisions.toMap()
        fate.appliedAfterMs?.let { after(it) { result = apply(leader.shard, commit, guardRevisions) } }
        after(fate.respondedAfterMs) {
            leader.committing = false
            val reported = if (fate.responseLost) CommitResult.Unknown else result
            if (reported is CommitResult.Refused) readLeaderKey(leader)
            leader.scheduler.committed(commit, reported, now)
        }
    }

    private fun readLeaderKey(leader: Leader) {
        val revision = leaderKeys[leader.shard] ?: return
        if (leaders[leader.shard] === leader && leader.scheduler.cluster.term != revision) leader.scheduler.termRaised(revision, now)
    }

    private fun apply(
        shard: String,
        commit: Commit,
        guardRevisions: Map<String, Long>,
    ): CommitResult {
        if (commit.term != leaderKeys[shard]) return CommitResult.Refused
        val changed = guardRevisions.filter { (id, revision) -> live[id]?.revision != revision }.keys
        if (changed.isNotEmpty()) return CommitResult.Conflict(changed)
        if (commit.writes.any { it is Write.RecordRound && it.key in rounds }) return CommitResult.Conflict(emptySet())
        val r = ++revision
        for (w in commit.writes) {
            when (w) {
                is Write.RecordRound -> rounds[w.key] = Triple(shard, r, w.record)
                is Write.DeleteRound -> rounds.remove(w.key)
                is Write.FinishJob -> removeJob(w.job.id).also { finished.add(w.job.id) }
                is Write.CancelSuccessor, is Write.DeleteJobRecord -> removeJob(w.guardedJobs.single().id)
                is Write.WriteIntent -> intents[w.intent.idempotencyKey] = shard to w.intent
                is Write.DeleteIntent -> intents.remove(w.idempotencyKey)
                is Write.SaveLearnedState -> {}
                is Write.FenceZone -> zoneFences[w.record.key] = shard to w.record
                is Write.LiftZoneFence -> zoneFences.remove(w.key)
                Write.RaiseTerm -> leaderKeys[shard] = r
            }
        }
        return CommitResult.Done(r)
    }

    private fun removeJob(id: String) {
        workers.values.firstOrNull { w -> id in cancelledAtMs && w.activeTasks().any { it.job == id } }?.let {
            throw Violation("deleted_while_running: cancelled job $id was removed while it has a task on ${it.id}")
        }
        live.remove(id)
        notifyLeaders(id)
    }

    private fun assign(
        leader: Leader,
        transaction: AssignmentTransaction,
    ) {
        leader.assigning = true
        val fate = fate()
        var appliedAt: Long? = null
        fate.appliedAfterMs?.let { after(it) { if (preconditionsHold(leader.shard, transaction)) appliedAt = applyTransaction(transaction) } }
        after(fate.respondedAfterMs) {
            leader.assigning = false
            val at = appliedAt
            when {
                fate.responseLost -> leader.agent.unanswered(transaction)
                at != null -> leader.agent.applied(transaction, at, now)
                else -> {
                    readLeaderKey(leader)
                    leader.agent.refused(transaction)
                }
            }
        }
    }

    private fun preconditionsHold(
        shard: String,
        t: AssignmentTransaction,
    ) = t.conditions.all { c ->
        when (c) {
            is LeaderCondition.Leads -> c.shard == shard && leaderKeys[shard] == t.term
            is LeaderCondition.Leaderless -> c.shard !in leaderKeys && leaderKeys[shard] == t.term
        }
    } &&
        (disabledGuards.omitsBlockPreconditions || t.blocks.all { (number, write) -> (blocks[number]?.revision ?: 0) == write.guardRevision })

    private fun applyTransaction(t: AssignmentTransaction): Long {
        write(t.changes.associate { it.machine to it.next })
        return revision
    }

    // ---- between leaders ----

    private fun ask(
        leader: Leader,
        query: ForeignTaskQuery,
    ) {
        if (injectsFaults && chance(0.1)) return
        val responseDelayMs = if (injectsFaults && chance(0.1)) random.nextLong(2_000, 15_000) else random.nextLong(1, 100)
        after(random.nextLong(1, 100)) {
            val owner = leader.table.assignment(query.machine)?.let { leaders[it.owner] } ?: return@after
            val result = owner.responder.respond(query, now).takeIf { !owner.paused } ?: return@after
            val delivered =
                if (disabledGuards.ignoresNoHeartbeatYet && result == ForeignTaskResponse.NoHeartbeatYet) ForeignTaskResponse.Status(emptyList()) else result
            after(responseDelayMs) { leader.remoteTasks.applyResponse(query, delivered, now) }
        }
    }

    // ---- workers ----

    private fun tickWorkers() {
        for (w in workers.values) {
            w.step(now)
            if (!w.alive) continue
            w.tasks.forEach { (id, t) -> if (t.exitReason == ExitReason.DONE) completedTasks.add(id) }
            if (w.hung) continue
            if (w.awaitingResponseSinceMs >= 0 && now - w.awaitingResponseSinceMs > 4_000) w.awaitingResponseSinceMs = -1
            if (w.awaitingResponseSinceMs < 0 && now >= w.nextHeartbeatAtMs) sendReport(w)
        }
        after(100) { tickWorkers() }
    }

    private fun sendReport(w: SimWorker) {
        val heartbeat = w.heartbeat()
        val sentAt = now
        w.awaitingResponseSinceMs = now
        w.nextHeartbeatAtMs = now + random.nextLong(750, 1_250)
        val misdirectedFraction = if (injectsFaults) 0.3 else 0.1
        val to = if (chance(misdirectedFraction)) allLeaders().randomOrNull(random) else storedAssignment(w.id)?.let { leaders[target(it)] }
        if (injectsFaults && chance(0.03)) return
        if (injectsFaults && chance(0.1)) after(random.nextLong(500, 40_000)) { allLeaders().randomOrNull(random)?.let { deliver(it, heartbeat) } }
        after(random.nextLong(1, 80)) {
            val response = to?.takeIf { !it.paused }?.let { deliver(it, heartbeat) }
            if (response == HeartbeatResponse.NotOwner || to == null) {
                w.awaitingResponseSinceMs = -1
                w.nextHeartbeatAtMs = now + random.nextLong(50, 500)
            }
            if (response !is HeartbeatResponse.Commands || (injectsFaults && chance(0.03)) || w.unreachable) return@after
            val epoch = to.ownership.epoch(w.id)
            after(random.nextLong(1, 80)) {
                if (w.awaitingResponseSinceMs != sentAt || now - sentAt > 4_000) return@after
                w.awaitingResponseSinceMs = -1
                if (response.term >= w.term && heartbeat.incarnation == w.incarnation) commandsAccepted(w, to.shard, epoch, response.commands)
                w.receiveResponse(response.term, response.commands, sentAt, heartbeat.incarnation)
            }
        }
    }

    /** From [atMs] on, for [forMs] milliseconds, the tasks that start on some of the machines fail. */
    fun failTasks(
        atMs: Long,
        forMs: Long,
    ) = after(atMs) { workers.values.filter { chance(0.4) }.forEach { it.failsTasksUntilMs = now + forMs } }

    private fun target(a: Assignment) = if (a is Assignment.Offered) a.target else a.owner

    private fun deliver(
        leader: Leader,
        heartbeat: mintfield.core.model.Heartbeat,
    ) = leader.scheduler.heartbeat(heartbeat, leader.mayAct, now)

    private fun direct(
        leader: Leader,
        call: DirectCall,
    ) {
        val w = workers.getValue(call.machine)
        val fate = if (injectsFaults) random.nextInt(12) else NO_FAULT
        val delayMs = if (fate <= 1) random.nextLong(1_500, 40_000) else random.nextLong(1, 60)
        val epoch = leader.ownership.epoch(w.id)
        var response: mintfield.core.model.Heartbeat? = null
        if (fate != 2) after(delayMs) { response = deliverDirect(w, leader.shard, epoch, call) }
        after(minOf(delayMs + random.nextLong(1, 60), RESPONSE_TIMEOUT_MS)) {
            val got = response
            if (got == null || fate <= 3) return@after leader.scheduler.directCallUnanswered(call, true, now)
            leader.scheduler.directCallResponded(call, got, now)
            if (repeatedCallFraction > 0 && chance(repeatedCallFraction)) repeatDirect(w, leader.shard, epoch, call)
        }
    }

    private fun deliverDirect(
        w: SimWorker,
        shard: String,
        epoch: Long,
        call: DirectCall,
    ): mintfield.core.model.Heartbeat? {
        if (w.hung || w.unreachable) return null
        if (w.alive && call.term >= w.term && call.incarnation == w.incarnation) commandsAccepted(w, shard, epoch, call.commands)
        return w.receiveCommands(call.term, call.incarnation, call.commands)
    }

    private fun repeatDirect(
        w: SimWorker,
        shard: String,
        epoch: Long,
        call: DirectCall,
    ) = after(random.nextLong(1, MAX_REPETITION_DELAY_MS)) {
        repeatedCalls++
        deliverDirect(w, shard, epoch, call)
    }

    private fun cloud(
        leader: Leader,
        call: CloudCall,
    ) {
        val fleet = leader.scheduler.fleet
        if (injectsFaults && chance(0.1)) return fleet.failed(call, now)
        when (call) {
            is CloudCall.Provision -> {
                val ids =
                    provisionedMachines.getOrPut(call.intent.idempotencyKey) {
                        if (workers.values.count { it.alive } <
                            MACHINES
                        ) {
                            listOf(addWorker(call.intent.zone, call.intent.spot))
                        } else {
                            emptyList()
                        }
                    }
                if (ids.isEmpty()) fleet.noCapacity(call.intent, now) else fleet.provisioned(call.intent, ids, now)
            }
            is CloudCall.Release -> {
                call.machines.forEach { workers[it]?.alive = false }
                if (injectsFaults && chance(0.2)) fleet.failed(call, now) else fleet.released(call.machines, now)
            }
            is CloudCall.ListPage -> fleet.machinesListed(listing(), false, now)
            CloudCall.Types -> fleet.machineTypesRead(listOf(Fixtures.box), now)
        }
    }

    // ---- invariants ----

    /** Checks [commands] of the leader of [shard], which owned the machine since [epoch], when the worker carries them out. */
    private fun commandsAccepted(
        w: SimWorker,
        shard: String,
        epoch: Long,
        commands: List<WorkerCommand>,
    ) {
        val (lastShard, lastEpoch) = lastCommandOwner[w.id] ?: (shard to epoch)
        if (epoch < lastEpoch && shard != lastShard) throw Violation("former owner: ${w.id} accepts $shard@$epoch after $lastShard@$lastEpoch\n${logs(w.id)}")
        lastCommandOwner[w.id] = shard to epoch
        if (injectsFaults) return
        for (o in commands.filterIsInstance<WorkerCommand.Stop>()) {
            if (specs[o.task.job]?.let { shardOf(it) } != shard &&
                o.task.job !in cancelledAtMs &&
                o.task.job in live
            ) {
                throw Violation("lost: $shard stops ${o.task} on ${w.id}")
            }
        }
    }

    private fun started(
        on: SimWorker,
        task: TaskId,
    ) {
        starts++
        val spec = specs.getValue(task.job)
        workers.values.firstOrNull { it !== on && task in it.activeTasks() }?.let {
            throw Violation("ran_twice: $task starts on ${on.id} while on ${it.id}\n${logs(task.job)}\n${logs(it.id)}")
        }
        if (spec.zone != null && on.zone != spec.zone) throw Violation("wrong_place: $task in ${on.zone}")
        val others = workers.values.filter { w -> w.activeTasks().any { it.job == task.job && it != task } }
        if (spec.oneZone && others.any { it.zone != on.zone }) throw Violation("wrong_place: $task starts outside the zone of its job")
        checkCancelled(task.job)
    }

    private fun check() {
        for (w in workers.values) {
            val owners = allLeaders().filter { it.mayAct && it.schedulerOwnership.owns(w.id) }.map { it.shard }.distinct()
            if (owners.size > 1) throw Violation("two owners: ${w.id} owned by $owners at $now\n${logs(w.id)}")
            w.activeTasks().forEach { checkCancelled(it.job) }
        }
        val used = workers.values.sumOf { w -> w.activeTasks().filter { specs[it.job]?.team == "small" }.sumOf { specs.getValue(it.job).cpus } }
        if (used > settings.teams.first { it.name == "small" }.cpusMax + 1e-6) throw Violation("quota: small uses $used")
        for (id in finished) (0 until specs.getValue(id).tasks).firstOrNull { TaskId(id, it) !in completedTasks }?.let { throw Violation("not_done: $id/$it") }
    }

    private fun checkCancelled(id: String) {
        val at = cancelledAtMs[id] ?: return
        if (now - at > settings.cancelS * 1000) throw Violation("ran_cancelled: a task of $id runs ${now - at} ms after its cancellation")
    }

    private fun logs(word: String) = allLeaders().joinToString("\n") { leader -> leader.log.filter { word in it }.joinToString("\n") }

    /** The state of all leaders, for the message of a failed test. */
    fun state(): String =
        leaders.values.joinToString("\n") { leader ->
            "${leader.shard}: ${leader.scheduler.summary(now)}\n" +
                leader.scheduler.cluster.machines.values.joinToString("\n") { m ->
                    "  ${m.id} ${m.state} ${storedAssignment(
                        m.id,
                    )} seen ${m.termSeen} needed ${m.lease.requiredTerm} ${m.attempts.map { "${it.job.id}/${it.index} ${it.state}" }}"
                }
        }

    companion object {
        val SHARDS = listOf("s1", "s2", "s3")
        const val LENGTH_MS = 120_000L
        private const val MACHINES = 9
        private const val START_MS = 100_000L
        private const val LEASE_MS = 3_300L
        private const val LAG_MS = 300L
        private const val RESPONSE_TIMEOUT_MS = 1_500L
        private const val NO_FAULT = 19
        private const val MAX_REPETITION_DELAY_MS = 15_000L
    }
}
