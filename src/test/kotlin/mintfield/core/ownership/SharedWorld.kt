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
 * Leaders of several shares against one store, one cloud and workers that they share, with machines that move from one to another
 * all the time. Leaders are replaced while the old ones go on, transactions lose their answers or are carried out late, messages come late
 * or never. After every event the rules are checked. All of it follows from [seed].
 */
class SharedWorld(
    seed: Int,
    private val troubles: Boolean = true,
    private val faults: Faults = Faults(),
) {
    /** Guards that are taken out, to see that the checks catch it. */
    class Faults(
        val noEpochs: Boolean = false,
        val actsWhileLettingGo: Boolean = false,
        val trustsUnheard: Boolean = false,
        val haltsGuests: Boolean = false,
        val unguardedBlocks: Boolean = false,
    )

    class Broken(
        rule: String,
    ) : AssertionError(rule)

    private class Event(
        val at: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private inner class Lead(
        val shard: String,
        term: Long,
    ) {
        val table = AssignmentTable()
        val owned = ShardOwnership(shard, table) { id -> live[id]?.spec?.takeIf { shareOf(it) != shard } }
        val seen: Ownership =
            object : Ownership by owned {
                override fun owns(machine: String) = if (faults.actsWhileLettingGo) table.assignment(machine).entitles(shard) else owned.owns(machine)

                override fun epoch(machine: String) = if (faults.noEpochs) 0 else owned.epoch(machine)

                override fun foreignSpec(job: String) = if (faults.haltsGuests) null else owned.foreignSpec(job)
            }
        val log = ArrayList<String>()
        val scheduler = Scheduler(settings, term, { live[it]?.cancelled == true }, seen) { log.add("$now $shard $it") }
        private val rebalancer = Rebalancer(shard, scheduler.cluster, table, shards, loads)
        val meter = LoadMeter(scheduler.cluster)
        val agent =
            HandoverAgent(
                owned,
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

        /** The store does not serve it any more; its lease runs out. */
        var cutOff = false
        val mayAct get() = now - servedAt < LEASE_MS && !standsStill
        var standsStill = false
    }

    private val random = Random(seed)
    private val queue = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private var order = 0L
    private var now = START_MS
    private val settings = Fixtures.settings.copy(teams = Fixtures.settings.teams + Team("third", 0.0, 0.0, 0.0, 0.0))
    private val teamShares = mapOf("floor" to "s1", "small" to "s2", "third" to "s3")

    // The store.
    private var revision = 10L
    private val leaderMarks = HashMap<String, Long>()
    private val blocks = HashMap<Int, AssignmentBlock>()
    private val live = LinkedHashMap<String, AcceptedJob>()
    private val rounds = HashMap<String, Triple<String, Long, RoundRecord>>()
    private val intents = LinkedHashMap<String, Pair<String, ScaleOutIntent>>()
    private val zoneFences = LinkedHashMap<String, Pair<String, ZoneFence>>()

    // The cloud and the workers.
    private val workers = LinkedHashMap<String, SimWorker>()
    private val pleas = HashMap<String, List<String>>()

    private val leads = LinkedHashMap<String, Lead>()
    private val zombies = ArrayList<Lead>()

    // What really happened, for the checks.
    private val specs = HashMap<String, JobSpec>()
    private val withdrawnAt = HashMap<String, Long>()
    private val doneFor = HashSet<TaskId>()
    private val heardShare = HashMap<String, Pair<String, Long>>()
    private val finished = HashSet<String>()
    var starts = 0
        private set
    var moves = 0
        private set
    val killed: Int get() = workers.values.sumOf { it.tasksLostWithLease }
    val unfinished: Set<String> get() = live.filter { !it.value.cancelled }.keys
    val kept: Set<String> get() = live.keys

    private val shards =
        object : Shards {
            override fun isKnown(shard: String) = shard in SHARDS

            override fun isLive(shard: String) = shard in leaderMarks

            override fun spare(shard: String) = MACHINES
        }

    private val loads =
        object : ShardLoads {
            override fun load(shard: String) = leads[shard]?.meter?.measure()

            override fun weight(shard: String) = ShardSettings.DEFAULT_WEIGHT
        }

    private fun shareOf(spec: JobSpec) = teamShares.getValue(spec.team)

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
                tell(spec.id)
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
                withdrawnAt[id] = now
                tell(id)
            },
        )
    }

    private fun everyone() = zombies + leads.values

    private fun tell(id: String) =
        everyone().filter { it.shard == shareOf(specs.getValue(id)) }.forEach { lead ->
            after(random.nextLong(5, LAG_MS)) {
                val job = live[id]
                if (job == null) lead.scheduler.jobRemoved(id, now) else lead.scheduler.jobChanged(job, now)
            }
        }

    fun run(untilMs: Long) {
        repeat(MACHINES) { assign(addWorker(if (it % 2 == 0) "north" else "south"), SHARDS[it % SHARDS.size]) }
        SHARDS.forEach(::elect)
        tickWorkers()
        shuffle()
        if (troubles) trouble()
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

    // ---- moves and troubles ----

    private fun truth(machine: String): Assignment? = blocks[AssignmentTable.blockOf(machine)]?.assignments?.get(machine)

    /** Someone orders moves, or takes them back, by what may be old news. */
    private fun shuffle() {
        after(random.nextLong(300, 2_000)) {
            val machine =
                workers.values
                    .filter { it.alive }
                    .random(random)
                    .id
            val number = AssignmentTable.blockOf(machine)
            val known = truth(machine)
            val revision = blocks[number]?.revision ?: 0
            val step = if (chance(0.25)) Handover.cancel(known) else Handover.order(known, SHARDS.random(random), shards)
            after(random.nextLong(1, 400)) {
                if (step is AssignmentTransition.Allowed &&
                    blocks[number]?.revision == revision
                ) {
                    write(mapOf(machine to step.next))
                }
            }
            shuffle()
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
        everyone().forEach { lead -> after(random.nextLong(5, LAG_MS)) { showTable(lead) } }
    }

    private fun showTable(lead: Lead) {
        blocks.forEach { (number, block) -> lead.table.apply(number, block) }
        lead.table.caughtUp(revision)
    }

    private fun trouble() {
        after(random.nextLong(800, 5_000)) {
            when (random.nextInt(7)) {
                0 -> leads[SHARDS.random(random)]?.let(::cutOff)
                1 -> crash(SHARDS.random(random))
                2 -> workers.values.random(random).let { it.hungUntilMs = now + random.nextLong(1_000, 15_000) }
                3 -> if (workers.values.count { it.alive } > MACHINES / 2) workers.values.random(random).alive = false
                4 -> workers.values.random(random).nextHeartbeatAtMs = now + random.nextLong(4_000, 14_000)
                5 -> workers.values.random(random).let { it.unreachableUntilMs = now + random.nextLong(500, 20_000) }
                else ->
                    leads.values.randomOrNull(random)?.let { lead ->
                        lead.standsStill = true
                        val forMs = random.nextLong(500, 8_000)
                        after(forMs) { lead.standsStill = false }
                        if (forMs >= LEASE_MS) cutOff(lead)
                    }
            }
            trouble()
        }
    }

    /** The leader ends; its share is led again once its key is gone. */
    private fun crash(shard: String) {
        leads.remove(shard) ?: return
        after(LEASE_MS) { leaderMarks.remove(shard) }
        after(LEASE_MS + random.nextLong(50, 12_000)) { elect(shard) }
    }

    /** The leader loses the store, not the workers. It goes on answering when its lease has ended and another one leads. */
    private fun cutOff(lead: Lead) {
        lead.cutOff = true
        leads.remove(lead.shard)
        zombies.add(lead)
        after(LEASE_MS) { leaderMarks.remove(lead.shard) }
        after(LEASE_MS + random.nextLong(1, 2_000)) { elect(lead.shard) }
        after(LEASE_MS + random.nextLong(100, 20_000)) { zombies.remove(lead) }
    }

    /** A new leader, which replays from the store. */
    private fun elect(shard: String) {
        leaderMarks[shard] = ++revision
        val lead = Lead(shard, revision)
        leads[shard] = lead
        val s = lead.scheduler
        showTable(lead)
        zoneFences.values.filter { it.first == shard }.forEach { s.zoneFencing.replay(it.second) }
        s.zoneFencing.read = true
        s.types(listOf(Fixtures.box), now)
        s.listed(listing(), false, now)
        live.values.filter { shareOf(it.spec) == shard }.forEach { s.jobChanged(it, now) }
        intents.values.filter { it.first == shard }.forEach { s.replay.intent(it.second) }
        rounds.entries
            .filter { it.value.first == shard }
            .sortedBy { it.value.second }
            .forEach { (k, v) -> s.replay.round(k, v.third, v.second, now) }
        s.replay.complete(now)
        loop(lead)
    }

    private fun listing() = workers.values.filter { it.alive && chance(0.9) }.map { ListedMachine(it.id, "box", it.zone, it.spot, MachineStage.RUNNING, 60.0) }

    private fun loop(lead: Lead) {
        if (leads[lead.shard] !== lead && lead !in zombies) return
        if (!lead.cutOff && !lead.standsStill && now - lead.servedAt < LEASE_MS) lead.servedAt = now
        if (!lead.standsStill) {
            lead.scheduler.tick(now)
            if (lead.mayAct) act(lead)
        }
        after(random.nextLong(20, 120)) { loop(lead) }
    }

    private fun act(lead: Lead) {
        if (!lead.committing) lead.scheduler.nextCommit(now, now, 16)?.let { commit(lead, it) }
        if (!lead.assigning) lead.agent.next(now)?.let { assign(lead, it) }
        lead.scheduler.directCalls(now, 10).forEach { direct(lead, it) }
        lead.scheduler.cloudCall(now)?.let { cloud(lead, it) }
        lead.remoteTasks.dueQueries(now).forEach { ask(lead, it) }
    }

    // ---- the store ----

    /** When a transaction is carried out, if ever, and when its sender hears of it, if ever. */
    private class Fate(
        val appliedAfterMs: Long?,
        val answeredAfterMs: Long,
        val answerLost: Boolean,
    )

    private fun fate(): Fate {
        val usual = random.nextLong(3, 60)
        return when (if (troubles) random.nextInt(20) else TROUBLE_FREE) {
            0 -> Fate(random.nextLong(2_000, 12_000), NO_ANSWER_MS, answerLost = true)
            1 -> Fate(null, NO_ANSWER_MS, answerLost = true)
            2 -> Fate(usual, usual + 50, answerLost = true)
            else -> Fate(usual, usual + random.nextLong(3, 60), answerLost = false)
        }
    }

    private fun commit(
        lead: Lead,
        commit: Commit,
    ) {
        lead.committing = true
        val fate = fate()
        var result: CommitResult = CommitResult.Refused
        val guardRevisions = commit.guardRevisions.toMap()
        fate.appliedAfterMs?.let { after(it) { result = apply(lead.shard, commit, guardRevisions) } }
        after(fate.answeredAfterMs) {
            lead.committing = false
            val told = if (fate.answerLost) CommitResult.Unknown else result
            if (told is CommitResult.Refused) readLeaderKey(lead)
            lead.scheduler.committed(commit, told, now)
        }
    }

    private fun readLeaderKey(lead: Lead) {
        val revision = leaderMarks[lead.shard] ?: return
        if (leads[lead.shard] === lead && lead.scheduler.cluster.term != revision) lead.scheduler.termRaised(revision, now)
    }

    private fun apply(
        shard: String,
        commit: Commit,
        guardRevisions: Map<String, Long>,
    ): CommitResult {
        if (commit.term != leaderMarks[shard]) return CommitResult.Refused
        val changed = guardRevisions.filter { (id, revision) -> live[id]?.revision != revision }.keys
        if (changed.isNotEmpty()) return CommitResult.Conflict(changed)
        val r = ++revision
        for (w in commit.writes) {
            when (w) {
                is Write.RecordRound -> rounds[w.key] = Triple(shard, r, w.record)
                is Write.DeleteRound -> rounds.remove(w.key)
                is Write.FinishJob -> ended(w.job.id).also { finished.add(w.job.id) }
                is Write.CancelSuccessor, is Write.DeleteJobRecord -> ended(w.guardedJobs.single().id)
                is Write.WriteIntent -> intents[w.intent.idempotencyKey] = shard to w.intent
                is Write.DeleteIntent -> intents.remove(w.idempotencyKey)
                is Write.SaveLearnedState -> {}
                is Write.FenceZone -> zoneFences[w.record.key] = shard to w.record
                is Write.LiftZoneFence -> zoneFences.remove(w.key)
                Write.RaiseTerm -> leaderMarks[shard] = r
            }
        }
        return CommitResult.Done(r)
    }

    private fun ended(id: String) {
        workers.values.firstOrNull { w -> id in withdrawnAt && w.activeTasks().any { it.job == id } }?.let { throw Broken("swept: $id is still on ${it.id}") }
        live.remove(id)
        tell(id)
    }

    private fun assign(
        lead: Lead,
        transaction: AssignmentTransaction,
    ) {
        lead.assigning = true
        val fate = fate()
        var appliedAt: Long? = null
        fate.appliedAfterMs?.let { after(it) { if (holds(lead.shard, transaction)) appliedAt = carryOut(transaction) } }
        after(fate.answeredAfterMs) {
            lead.assigning = false
            val at = appliedAt
            when {
                fate.answerLost -> lead.agent.unanswered(transaction)
                at != null -> lead.agent.applied(transaction, at, now)
                else -> {
                    readLeaderKey(lead)
                    lead.agent.refused(transaction)
                }
            }
        }
    }

    private fun holds(
        shard: String,
        t: AssignmentTransaction,
    ) = t.conditions.all { c ->
        when (c) {
            is LeaderCondition.Leads -> c.shard == shard && leaderMarks[shard] == t.term
            is LeaderCondition.Leaderless -> c.shard !in leaderMarks && leaderMarks[shard] == t.term
        }
    } &&
        (faults.unguardedBlocks || t.blocks.all { (number, write) -> (blocks[number]?.revision ?: 0) == write.guardRevision })

    private fun carryOut(t: AssignmentTransaction): Long {
        write(t.changes.associate { it.machine to it.next })
        return revision
    }

    // ---- between leaders ----

    private fun ask(
        lead: Lead,
        query: ForeignTaskQuery,
    ) {
        if (troubles && chance(0.1)) return
        val held = if (troubles && chance(0.1)) random.nextLong(2_000, 15_000) else random.nextLong(1, 100)
        after(random.nextLong(1, 100)) {
            val owner = lead.table.assignment(query.machine)?.let { leads[it.owner] } ?: return@after
            val answer = owner.responder.answer(query, now).takeIf { !owner.standsStill } ?: return@after
            val told = if (faults.trustsUnheard && answer == ForeignTaskAnswer.NoHeartbeatYet) ForeignTaskAnswer.Status(emptyList()) else answer
            after(held) { lead.remoteTasks.answered(query, told, now) }
        }
    }

    // ---- workers ----

    private fun tickWorkers() {
        for (w in workers.values) {
            w.step(now)
            if (!w.alive) continue
            w.tasks.forEach { (id, t) -> if (t.exitReason == ExitReason.DONE) doneFor.add(id) }
            if (w.hung) continue
            if (w.awaitingAnswerSinceMs >= 0 && now - w.awaitingAnswerSinceMs > 4_000) w.awaitingAnswerSinceMs = -1
            if (w.awaitingAnswerSinceMs < 0 && now >= w.nextHeartbeatAtMs) sendReport(w)
        }
        after(100) { tickWorkers() }
    }

    private fun sendReport(w: SimWorker) {
        val heartbeat = w.heartbeat()
        val sentAt = now
        w.awaitingAnswerSinceMs = now
        w.nextHeartbeatAtMs = now + random.nextLong(750, 1_250)
        val strangers = if (troubles) 0.3 else 0.1
        val to = if (chance(strangers)) everyone().randomOrNull(random) else truth(w.id)?.let { leads[target(it)] }
        if (troubles && chance(0.03)) return
        if (troubles && chance(0.1)) after(random.nextLong(500, 40_000)) { everyone().randomOrNull(random)?.let { answer(it, heartbeat) } }
        after(random.nextLong(1, 80)) {
            val answer = to?.takeIf { !it.standsStill }?.let { answer(it, heartbeat) }
            if (answer == HeartbeatResponse.NotOwner || to == null) {
                w.awaitingAnswerSinceMs = -1
                w.nextHeartbeatAtMs = now + random.nextLong(50, 500)
            }
            if (answer !is HeartbeatResponse.Commands || (troubles && chance(0.03)) || w.unreachable) return@after
            val epoch = to.owned.epoch(w.id)
            after(random.nextLong(1, 80)) {
                if (w.awaitingAnswerSinceMs != sentAt || now - sentAt > 4_000) return@after
                w.awaitingAnswerSinceMs = -1
                if (answer.term >= w.term && heartbeat.incarnation == w.incarnation) accepted(w, to.shard, epoch, answer.commands)
                w.answered(answer.term, answer.commands, sentAt, heartbeat.incarnation)
            }
        }
    }

    private fun target(a: Assignment) = if (a is Assignment.Offered) a.target else a.owner

    private fun answer(
        lead: Lead,
        heartbeat: mintfield.core.model.Heartbeat,
    ) = lead.scheduler.heartbeat(heartbeat, lead.mayAct, now)

    private fun direct(
        lead: Lead,
        call: DirectCall,
    ) {
        val w = workers.getValue(call.machine)
        val fate = if (troubles) random.nextInt(12) else TROUBLE_FREE
        val travel = if (fate <= 1) random.nextLong(1_500, 40_000) else random.nextLong(1, 60)
        val epoch = lead.owned.epoch(w.id)
        var answer: mintfield.core.model.Heartbeat? = null
        if (fate != 2) {
            after(travel) {
                if (w.hung || w.unreachable) return@after
                if (w.alive && call.term >= w.term && call.incarnation == w.incarnation) accepted(w, lead.shard, epoch, call.commands)
                answer = w.commanded(call.term, call.incarnation, call.commands)
            }
        }
        after(minOf(travel + random.nextLong(1, 60), NO_ANSWER_MS)) {
            val got = answer
            if (got != null && fate > 3) lead.scheduler.directCallResponded(call, got, now) else lead.scheduler.directCallUnanswered(call, true, now)
        }
    }

    private fun cloud(
        lead: Lead,
        call: CloudCall,
    ) {
        val fleet = lead.scheduler.fleet
        if (troubles && chance(0.1)) return fleet.failed(call, now)
        when (call) {
            is CloudCall.Provision -> {
                val ids =
                    pleas.getOrPut(call.intent.idempotencyKey) {
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
                if (troubles && chance(0.2)) fleet.failed(call, now) else fleet.released(call.machines, now)
            }
            is CloudCall.ListPage -> fleet.listed(listing(), false, now)
            CloudCall.Types -> fleet.typesRead(listOf(Fixtures.box), now)
        }
    }

    // ---- the rules ----

    /** A worker carries out what the leader of [shard] told it while the machine was that share's since [epoch]. */
    private fun accepted(
        w: SimWorker,
        shard: String,
        epoch: Long,
        commands: List<WorkerCommand>,
    ) {
        val (lastShare, lastEpoch) = heardShare[w.id] ?: (shard to epoch)
        if (epoch < lastEpoch && shard != lastShare) throw Broken("former owner: ${w.id} obeys $shard of $epoch after $lastShare of $lastEpoch\n${logs(w.id)}")
        heardShare[w.id] = shard to epoch
        if (troubles) return
        for (o in commands.filterIsInstance<WorkerCommand.Stop>()) {
            if (specs[o.task.job]?.let { shareOf(it) } != shard &&
                o.task.job !in withdrawnAt &&
                o.task.job in live
            ) {
                throw Broken("lost: $shard stops ${o.task} on ${w.id}")
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
            throw Broken("ran_twice: $task starts on ${on.id} while on ${it.id}\n${logs(task.job)}\n${logs(it.id)}")
        }
        if (spec.zone != null && on.zone != spec.zone) throw Broken("wrong_place: $task in ${on.zone}")
        val others = workers.values.filter { w -> w.activeTasks().any { it.job == task.job && it != task } }
        if (spec.oneZone && others.any { it.zone != on.zone }) throw Broken("wrong_place: $task apart from its job")
        checkCancelled(task.job)
    }

    private fun check() {
        for (w in workers.values) {
            val owners = everyone().filter { it.mayAct && it.seen.owns(w.id) }.map { it.shard }.distinct()
            if (owners.size > 1) throw Broken("two owners: ${w.id} of $owners, $now\n${logs(w.id)}")
            w.activeTasks().forEach { checkCancelled(it.job) }
        }
        val used = workers.values.sumOf { w -> w.activeTasks().filter { specs[it.job]?.team == "small" }.sumOf { specs.getValue(it.job).cpus } }
        if (used > settings.teams.first { it.name == "small" }.cpusMax + 1e-6) throw Broken("quota: small uses $used")
        for (id in finished) (0 until specs.getValue(id).tasks).firstOrNull { TaskId(id, it) !in doneFor }?.let { throw Broken("not_done: $id/$it") }
    }

    private fun checkCancelled(id: String) {
        val at = withdrawnAt[id] ?: return
        if (now - at > settings.cancelS * 1000) throw Broken("ran_cancelled: a task of $id ${now - at} ms after")
    }

    private fun logs(word: String) = everyone().joinToString("\n") { lead -> lead.log.filter { word in it }.joinToString("\n") }

    /** What the leaders think, for a failed test. */
    fun state(): String =
        leads.values.joinToString("\n") { lead ->
            "${lead.shard}: ${lead.scheduler.summary(now)}\n" +
                lead.scheduler.cluster.machines.values.joinToString("\n") { m ->
                    "  ${m.id} ${m.state} ${truth(
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
        private const val NO_ANSWER_MS = 1_500L
        private const val TROUBLE_FREE = 19
    }
}
