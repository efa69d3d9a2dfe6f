package mintfield.sim

import mintfield.Fixtures
import mintfield.core.CloudCall
import mintfield.core.Commit
import mintfield.core.CommitResult
import mintfield.core.HeartbeatResponse
import mintfield.core.ScaleOutIntent
import mintfield.core.Scheduler
import mintfield.core.Write
import mintfield.core.dependencies.DependencyGraph
import mintfield.core.dependencies.DependencyListener
import mintfield.core.fleet.ListedMachine
import mintfield.core.fleet.MachineStage
import mintfield.core.fleet.ZoneFence
import mintfield.core.jobs.AttemptState
import mintfield.core.jobs.KnownJob
import mintfield.core.jobs.RoundRecord
import mintfield.core.leadership.CancellationLog
import mintfield.core.leadership.CancellationWatermark
import mintfield.core.model.AcceptedJob
import mintfield.core.model.FinalState
import mintfield.core.model.Heartbeat
import mintfield.core.model.JobPhase
import mintfield.core.model.JobSpec
import mintfield.core.model.TaskId
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * The core against a store, a cloud and workers with a bad network: messages come late, never or again, leaders are
 * replaced while the old ones go on. After every event the protocol's rules are checked. All of it follows from [seed].
 */
class SimWorld(
    seed: Int,
    private val faults: Faults = Faults(),
    private val longerMs: Long = 0,
    /** Troubles drawn at random come until then, in milliseconds of simulated time. */
    private val troublesUntilMs: Long = Long.MAX_VALUE,
) {
    /** Faults planted to see that the checks catch them. */
    class Faults(
        val releaseSilent: Boolean = false,
        val forgetQuota: Boolean = false,
        val finishEarly: Boolean = false,
        val hideZones: Boolean = false,
        val hideAborts: Boolean = false,
        val unguarded: Boolean = false,
        val forgetOrder: Boolean = false,
        val assumeComplete: Boolean = false,
        val startUnplanned: Boolean = false,
        val dropWithdrawn: Boolean = false,
        val forgetDependencies: Boolean = false,
        val forgetSuccessors: Boolean = false,
    )

    private class Event(
        val at: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private class Lead(
        val scheduler: Scheduler,
        val dependencies: DependencyGraph,
    ) {
        var committing = false
        var servedAt = 0L
        val cancellationWatermark = CancellationWatermark(SIBLINGS)
        val log = ArrayDeque<String>()
    }

    private val random = Random(seed)
    private val queue = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private var order = 0L
    var now = 100_000L
        private set

    // The store.
    private var revision = 10L
    private var leaderMark = 0L
    private val live = LinkedHashMap<String, AcceptedJob>()
    private val rounds = HashMap<String, Pair<Long, RoundRecord>>()
    private val intents = LinkedHashMap<String, ScaleOutIntent>()
    private val zoneFences = LinkedHashMap<String, ZoneFence>()
    val finals = HashMap<String, JobPhase>()

    // The cloud and the workers.
    private val workers = LinkedHashMap<String, SimWorker>()
    private val pleas = HashMap<String, List<String>>()

    // What really happened, for the checks.
    private val doneFor = HashSet<TaskId>()
    private val specs = HashMap<String, JobSpec>()
    private val withdrawnAt = HashMap<String, Long>()
    var starts = 0
        private set

    /** Tasks that their workers forgot with a lease. */
    val killed: Int get() = workers.values.sumOf { it.killed }
    private var leader: Lead? = null
    private val zombies = ArrayList<Lead>()

    // The other controllers, as far as users are told of cancellations there, and whom the store serves.
    private val tellers = SIBLINGS.mapIndexed { i, it -> it to CancellationLog(i + 1L) }.toMap(LinkedHashMap())
    private val silentSiblings = HashSet<String>()
    private var refused: Lead? = null
    private val cutOff = HashSet<Lead>()

    /** Share of transactions of which only the answer is lost, and of those that are carried out seconds later. */
    var lostAnswers = 0.0
    var lateWrites = 0.0

    /** Share of heartbeats of which a copy is kept until the next leader begins. */
    var copiesForNext = 0.0
    private val copies = ArrayList<Heartbeat>()

    /** Share of the jobs that end which are called off at the moment of the end. */
    var cancelAtEnd = 0.0

    /** Puts and deletes that the store was asked for. */
    var writes = 0
        private set
    private var storeDown = false
    private var orphanedFromMs = 0L

    init {
        repeat(6) { addWorker(if (it % 2 == 0) "north" else "south", spot = it >= 4) }
    }

    private fun after(
        ms: Long,
        action: () -> Unit,
    ) {
        queue.add(Event(now + ms, order++, action))
    }

    private fun chance(p: Double) = random.nextDouble() < p

    /** Something that happens at a set time of the simulation. */
    fun at(
        ms: Long,
        action: SimWorld.() -> Unit,
    ) {
        queue.add(Event(100_000 + ms, order++) { action() })
    }

    fun machines(
        zone: String? = null,
        action: (SimWorker) -> Unit,
    ) = workers.values.filter { it.alive && (zone == null || it.zone == zone) }.forEach(action)

    /** The leader ends; another one comes [afterMs] later, or the same controller again. */
    fun crash(afterMs: Long) {
        leader = null
        after(afterMs) { if (leader == null) elect() }
    }

    /**
     * The leader loses the store and its peers for [ms], not its workers, of which those in the north stay with it; another
     * one comes when its lease has ended.
     */
    fun cutOffLeader(ms: Long) {
        val lead = leader ?: return
        cutOff.add(lead)
        after(3_600) {
            if (leader === lead) {
                leader = null
                elect()
                zombies.add(lead)
            }
        }
        after(ms) {
            cutOff.remove(lead)
            zombies.remove(lead)
        }
    }

    fun outage(ms: Long) {
        storeDown = true
        after(ms) {
            storeDown = false
            if (leader == null) elect()
        }
    }

    private fun addWorker(
        zone: String,
        spot: Boolean,
    ): String {
        val id = "m-%06d".format(workers.size)
        workers[id] = SimWorker(id, zone, spot, now, 10_000, longerMs, onStart = ::started)
        return id
    }

    fun submit(
        spec: JobSpec,
        atMs: Long,
    ) {
        queue.add(
            Event(100_000 + atMs, order++) {
                specs[spec.id] = spec
                val told = if (faults.hideZones) spec.copy(zone = null, oneZone = false, spread = false, spot = true) else spec
                live[spec.id] = Fixtures.accepted(told, ++revision, now)
                writes++
                tell(spec.id)
            },
        )
    }

    fun abort(
        id: String,
        atMs: Long,
    ) {
        queue.add(Event(100_000 + atMs, order++) { abortNow(id) })
    }

    fun abortNow(id: String) {
        val job = live[id]?.takeIf { !it.cancelled } ?: return
        // In an outage it is not taken; its user comes again.
        if (storeDown) return after(1_000) { abortNow(id) }
        if (!faults.hideAborts) tellers.values.random(random).append(id)
        if (!faults.hideAborts) live[id] = job.copy(revision = ++revision, cancelled = true)
        finals[id] = JobPhase.CANCELLED
        withdrawnAt[id] = now
        writes += 2
        tell(id)
        // Users may be told at once, at any controller, that what depends on it is cancelled too.
        if (!faults.hideAborts) dependents(id).forEach { if (chance(TOLD_SHARE)) tellers.values.random(random).append(it) }
    }

    /** The unfinished jobs that depend on [id], direct or through others. */
    private fun dependents(id: String): Set<String> {
        val found = LinkedHashSet<String>()
        val queue = ArrayDeque(listOf(id))
        while (queue.isNotEmpty()) {
            val next = queue.removeFirst()
            live.values.filter { next in it.spec.predecessors && found.add(it.spec.id) }.forEach { queue.addLast(it.spec.id) }
        }
        return found
    }

    /** The watch brings a job's change to whoever leads, a little later. */
    private fun tell(id: String) {
        (zombies + listOfNotNull(leader)).forEach { lead ->
            after(random.nextLong(5, WATCH_LAG)) { bring(lead, id) }
        }
    }

    private fun bring(
        lead: Lead,
        id: String,
    ) {
        if (!served(lead)) return after(100) { bring(lead, id) }
        val job = live[id]
        finals[id]?.let { lead.dependencies.ended(id, FinalState(it, 0, now)) }
        if (job == null) {
            lead.dependencies.removed(id)
            lead.scheduler.jobRemoved(id, now)
        } else {
            lead.dependencies.written(job)
            lead.scheduler.jobChanged(job, now)
        }
    }

    private fun served(lead: Lead) = !storeDown && lead !== refused && lead !in cutOff

    private fun mayAct(lead: Lead) = now - lead.servedAt < 3_300

    /** Each second: the renewal of the lead, a look at the jobs, and the notes of the peers. */
    private fun contact(lead: Lead) {
        if (lead !== leader && lead !in zombies) return
        if (served(lead)) {
            lead.servedAt = now
            lead.cancellationWatermark.viewed(now - WATCH_LAG)
        }
        for ((peer, log) in tellers) {
            if (peer in silentSiblings || lead in cutOff || chance(0.1)) continue
            val (incarnation, next) = lead.cancellationWatermark.progressOf(peer)
            val page = log.after(incarnation, next)
            val askedAt = now
            after(random.nextLong(1, 800)) {
                lead.cancellationWatermark.answered(peer, page, askedAt, now)
                page.ids.forEach { lead.scheduler.cancellationConfirmedByPeer(it, now) }
            }
        }
        after(1_000) { contact(lead) }
    }

    /**
     * The store refuses the leader alone, and two seconds later everybody for longer than a cancelled task may stay. The other
     * controllers may be silent to it from then on, one of them newly started, or both heard.
     */
    fun gap(atMs: Long) {
        queue.add(
            Event(100_000 + atMs, order++) {
                refused = leader
                val which = random.nextInt(4)
                if (which == 0) silentSiblings.addAll(SIBLINGS)
                if (which == 1) silentSiblings.add(SIBLINGS.random(random))
                if (which == 2) after(random.nextLong(1_900, 4_000)) { tellers[SIBLINGS.random(random)] = CancellationLog(99) }
            },
        )
        queue.add(Event(100_000 + atMs + 2_000, order++) { storeDown = true })
        queue.add(
            Event(100_000 + atMs + 55_000, order++) {
                storeDown = false
                refused = null
                silentSiblings.clear()
            },
        )
    }

    fun run(untilMs: Long) {
        elect()
        tickWorkers()
        if (troublesUntilMs > 0) troubles()
        while (now < 100_000 + untilMs) {
            val e = queue.poll() ?: break
            now = e.at
            e.action()
            check()
        }
    }

    // ---- troubles ----

    private fun troubles() {
        after(random.nextLong(500, 4_000)) {
            when (random.nextInt(8)) {
                7 -> cutZone()
                0 -> elect()
                6 -> workers.values.random(random).let { it.deafUntil = now + random.nextLong(500, 40_000) }
                1 -> workers.values.random(random).let { it.hungUntil = now + random.nextLong(1_000, 15_000) }
                2 -> if (workers.values.count { it.alive } > 4) workers.values.random(random).alive = false
                3 -> workers.values.random(random).nextReportAt = now + random.nextLong(4_000, 14_000)
                else -> {}
            }
            if (now - 100_000 < troublesUntilMs) troubles()
        }
    }

    /** Nothing comes out of a zone or into it for a while; at times a new leader comes meanwhile. */
    private fun cutZone() {
        val until = now + random.nextLong(3_000, 25_000)
        val zone = listOf("north", "south").random(random)
        for (w in workers.values) {
            if (w.zone != zone) continue
            w.deafUntil = until
            w.nextReportAt = until + random.nextLong(500)
        }
        if (chance(0.5)) after(random.nextLong(5_000, 14_000)) { elect() }
    }

    /** A new leader, which replays from the store, while the old one does not know yet. */
    private fun elect() {
        if (storeDown || refused != null) return
        leader?.let { old ->
            zombies.add(old)
            after(random.nextLong(100, 20_000)) { zombies.remove(old) }
        }
        leaderMark = ++revision
        val lead = newLead(leaderMark)
        leader = lead
        val s = lead.scheduler
        zoneFences.values.forEach { s.zoneFencing.replay(it) }
        s.types(listOf(Fixtures.box), now)
        s.listed(listing(), false, now)
        live.values.forEach(lead.dependencies::written)
        live.values.filterNot { faults.dropWithdrawn && it.cancelled }.forEach { s.jobChanged(it, now) }
        intents.values.forEach { s.replay.intent(it) }
        rounds.entries.sortedBy { it.value.first }.forEach { (k, v) -> s.replay.round(k, v.second, v.first, now) }
        s.replay.complete(now)
        contact(lead)
        loop(lead)
        copies.forEach { answer(lead, it) }
        copies.clear()
    }

    private fun newLead(term: Long): Lead {
        val settings = if (faults.forgetQuota) Fixtures.settings.copy(teams = Fixtures.settings.teams.map { it.copy(cpusMax = 0.0) }) else Fixtures.settings
        lateinit var lead: Lead
        val dependencies = DependencyGraph(::known)
        lead = Lead(Scheduler(settings, term, dependencies = dependencies) { lead.log.addLast("$now $it") }, dependencies)
        dependencies.listener =
            object : DependencyListener {
                override fun becameReady(id: String) = lead.scheduler.becameReady(id, now)

                override fun dependencyCancelled(id: String) {
                    if (!faults.forgetSuccessors) lead.scheduler.dependencyCancelled(id)
                }
            }
        return lead
    }

    private fun known(id: String): KnownJob? {
        val final = if (faults.forgetDependencies) JobPhase.DONE else finals[id]
        return final?.let { KnownJob.Ended(FinalState(it, 0, 0)) } ?: live[id]?.let { KnownJob.Live(it) }
    }

    /** As the cloud would: late, and at times without what it should show. */
    private fun listing() = workers.values.filter { it.alive && chance(0.9) }.map { ListedMachine(it.id, "box", it.zone, it.spot, MachineStage.RUNNING, 60.0) }

    private fun loop(lead: Lead) {
        val current = lead === leader || lead in zombies
        if (!current) return
        val s = lead.scheduler
        s.tick(now)
        plantFault(s)
        if (mayAct(lead)) {
            if (!lead.committing) s.nextCommit(now, now, 16)?.let { commit(lead, it) }
            s.directCalls(now, 10).forEach { direct(lead, it) }
            s.cloudCall(now)?.let { cloud(lead, it) }
        }
        after(random.nextLong(20, 120)) { loop(lead) }
    }

    private fun plantFault(s: Scheduler) {
        if (faults.releaseSilent) {
            for (m in s.cluster.machines.values) {
                if (now - m.lastContactAtMs > 3_000) m.attempts.toList().forEach { s.cluster.release(it, now, "planted") }
            }
        }
        if (faults.startUnplanned) {
            for (m in s.cluster.machines.values) m.attempts.filter { it.state == AttemptState.PLANNING }.forEach { it.moveTo(AttemptState.PLANNED, now) }
        }
        if (faults.forgetOrder) {
            for (m in s.cluster.machines.values) m.heartbeats.startIncarnation(m.incarnation)
        }
        if (faults.finishEarly) {
            s.cluster.jobs.values
                .forEach { j -> if (!j.done.isEmpty) (0 until j.spec.tasks).forEach { i -> j.setDone(i) } }
        }
    }

    // ---- store ----

    private fun commit(
        lead: Lead,
        commit: Commit,
    ) {
        lead.committing = true
        val fate =
            if (chance(lateWrites)) {
                0
            } else if (chance(lostAnswers)) {
                2
            } else {
                random.nextInt(20)
            }
        val applyAt = if (fate == 0) random.nextLong(2_000, 12_000) else random.nextLong(3, 60)
        for (w in commit.writes) if (w is Write.FinishJob && chance(cancelAtEnd)) after(applyAt + random.nextLong(-2, 2)) { abortNow(w.job.id) }
        writes += commit.writes.sumOf { if (it is Write.FinishJob) 2L else 1L }.toInt()
        var result: CommitResult = CommitResult.Refused
        // The guards are those of the moment it is sent, whatever the leader hears meanwhile.
        val guardRevisions = commit.guardRevisions.toMap()
        if (fate != 1) after(applyAt) { result = apply(lead, commit, guardRevisions) }
        val answerAt = if (fate <= 1) 1_500L else applyAt + random.nextLong(3, 60)
        after(answerAt) {
            lead.committing = false
            val told = if (fate <= 2) CommitResult.Unknown else result
            if (told is CommitResult.Refused) readLeaderKey(lead)
            lead.scheduler.committed(commit, told, now)
            if (told is CommitResult.Done) {
                for (w in commit.writes) {
                    if (w is Write.FinishJob) {
                        lead.dependencies.ended(
                            w.job.id,
                            FinalState(JobPhase.DONE, 0, now),
                        )
                    }
                }
            }
        }
    }

    /** As the service does when the guard on the leader key fails: its own rewriting may have gone through. */
    private fun readLeaderKey(lead: Lead) {
        if (lead === leader && lead.scheduler.cluster.term != leaderMark) lead.scheduler.raised(leaderMark, now)
    }

    private fun apply(
        lead: Lead,
        commit: Commit,
        guardRevisions: Map<String, Long>,
    ): CommitResult {
        if (!served(lead) || commit.term != leaderMark) return CommitResult.Refused
        val changed = guardRevisions.filter { (id, revision) -> live[id]?.revision != revision }.keys
        if (changed.isNotEmpty() && !faults.unguarded) return CommitResult.Conflict(changed)
        val r = ++revision
        for (w in commit.writes) {
            when (w) {
                is Write.RecordRound -> rounds[w.key] = r to w.record
                is Write.DeleteRound -> rounds.remove(w.key)
                is Write.FinishJob -> {
                    finals[w.job.spec.id] = JobPhase.DONE
                    live.remove(w.job.spec.id)
                    tell(w.job.spec.id)
                }
                is Write.CancelSuccessor -> {
                    finals[w.job.id] = JobPhase.CANCELLED
                    withdrawnAt[w.job.id] = now
                    live.remove(w.job.id)
                    tell(w.job.id)
                }
                is Write.DeleteJobRecord -> {
                    if (w.job.id !in finals) throw Broken("forgotten: ${w.job.id}: record deleted without a final state")
                    workers.values.firstOrNull { worker -> worker.present().any { it.job == w.job.id } }?.let {
                        throw Broken("swept: ${w.job.id} is still on ${it.id}")
                    }
                    live.remove(w.job.spec.id)
                    tell(w.job.spec.id)
                }
                is Write.WriteIntent -> intents[w.intent.idempotencyKey] = w.intent
                is Write.DeleteIntent -> intents.remove(w.idempotencyKey)
                is Write.SaveLearnedState -> {}
                is Write.FenceZone -> zoneFences[w.record.key] = w.record
                is Write.LiftZoneFence -> zoneFences.remove(w.key)
                Write.RaiseTerm -> if (lead === leader) leaderMark = r
            }
        }
        return CommitResult.Done(r)
    }

    // ---- workers ----

    private fun tickWorkers() {
        for (w in workers.values) {
            w.step(now)
            if (!w.alive || w.hung || w.muted) continue
            w.present()
            if (w.waitingSince >= 0 && now - w.waitingSince > 4_000) w.waitingSince = -1
            if (w.waitingSince < 0 && now >= w.nextReportAt) sendReport(w)
        }
        workers.values.filter { it.alive }.forEach { w ->
            w.tasks.forEach { (id, t) -> if (t.cause == mintfield.core.model.ExitReason.DONE) doneFor.add(id) }
        }
        after(100) { tickWorkers() }
    }

    private fun sendReport(w: SimWorker) {
        val heartbeat = w.heartbeat()
        val sentAt = now
        w.waitingSince = now
        w.nextReportAt = now + random.nextLong(750, 1_250)
        // A deposed leader goes on answering for a while, as one that is cut off from the store would.
        val stays = cutOff.firstOrNull()?.takeIf { w.zone == "north" }
        val to =
            if (stays != null) {
                stays
            } else if (zombies.isNotEmpty() && chance(0.4)) {
                zombies.random(random)
            } else {
                leader
            }
        val fate = random.nextInt(30)
        if (fate == 0) return
        val travel = if (fate == 1) random.nextLong(4_000, 30_000) else random.nextLong(1, 80)
        if (chance(copiesForNext)) copies.add(heartbeat)
        // Copies come late, by seconds to well over a lease, to whoever leads by then; nobody waits for their answers.
        if (chance(0.1)) after(random.nextLong(500, 40_000)) { leader?.let { answer(it, heartbeat) } }
        after(travel) {
            val answer = to?.let { answer(it, heartbeat) } ?: return@after
            if (answer !is HeartbeatResponse.Commands || random.nextInt(30) == 0 || w.unreachable) return@after
            after(random.nextLong(1, 80)) {
                if (w.waitingSince == sentAt && now - sentAt <= 4_000) {
                    w.waitingSince = -1
                    w.answered(answer.term, answer.commands, sentAt, heartbeat.incarnation)
                    if (answer.term < w.term) w.nextReportAt = now + 500
                }
            }
        }
    }

    private fun answer(
        lead: Lead,
        heartbeat: Heartbeat,
    ) = lead.scheduler.heartbeat(heartbeat, mayAct(lead), now, cancellationsToMs = if (faults.assumeComplete) now else lead.cancellationWatermark.upToMs())

    private fun direct(
        lead: Lead,
        call: mintfield.core.DirectCall,
    ) {
        val w = workers.getValue(call.machine)
        val fate = random.nextInt(12)
        val travel = if (fate <= 1) random.nextLong(1_500, 40_000) else random.nextLong(1, 60)
        var answer: mintfield.core.model.Heartbeat? = null
        if (fate !=
            2
        ) {
            after(travel) {
                answer =
                    if (w.hung || w.unreachable) null.also { redeliver(w, call) } else w.commanded(call.term, call.incarnation, call.commands)
            }
        }
        after(minOf(travel + random.nextLong(1, 60), 1_500)) {
            val got = answer
            if (got != null && fate > 3) lead.scheduler.directAnswered(call, got, now) else lead.scheduler.directUnanswered(call, true, now)
        }
    }

    /** A worker that hung or was unreachable carries out what waits for it when that is over. */
    private fun redeliver(
        w: SimWorker,
        call: mintfield.core.DirectCall,
    ) = after(maxOf(w.hungUntil, w.deafUntil) - now + 1) { w.commanded(call.term, call.incarnation, call.commands) }

    // ---- cloud ----

    private fun cloud(
        lead: Lead,
        call: CloudCall,
    ) {
        val fleet = lead.scheduler.fleet
        if (chance(0.1)) return fleet.failed(call, now)
        when (call) {
            is CloudCall.Provision -> {
                val ids =
                    pleas.getOrPut(call.intent.idempotencyKey) {
                        if (workers.values.count { it.alive } <
                            10
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
                if (chance(0.2)) fleet.failed(call, now) else fleet.released(call.machines, now)
            }
            is CloudCall.ListPage -> fleet.listed(listing(), false, now)
            CloudCall.Types -> fleet.typesRead(listOf(Fixtures.box), now)
        }
    }

    // ---- the rules ----

    class Broken(
        rule: String,
    ) : AssertionError(rule)

    private fun started(
        on: SimWorker,
        task: TaskId,
    ) {
        starts++
        val spec = specs[task.job] ?: throw Broken("$task started, but nobody submitted it")
        spec.predecessors.firstOrNull { finals[it] != JobPhase.DONE }?.let { throw Broken("too_early: $task starts before $it is done") }
        workers.values.firstOrNull { it !== on && task in it.present() }?.let {
            throw Broken("ran_twice: $task starts on ${on.id} while on ${it.id}\n${history(task)}")
        }
        if (on.spot && !spec.spot) throw Broken("wrong_place: $task on a spot machine")
        if (spec.zone != null && on.zone != spec.zone) throw Broken("wrong_place: $task in ${on.zone}")
        val others = workers.values.filter { w -> w.present().any { it.job == task.job && it != task } }
        if (spec.oneZone && others.any { it.zone != on.zone }) throw Broken("wrong_place: $task apart from its job")
        if (spec.spread) {
            val here = workers.values.filter { it.zone == on.zone }.sumOf { w -> w.present().count { it.job == task.job } }
            if (here > (spec.tasks + 1) / 2) throw Broken("wrong_place: $here of ${task.job} in ${on.zone}")
        }
        checkCancelled(task.job, "starts")
    }

    private fun check() {
        for (team in Fixtures.settings.teams) {
            if (team.cpusMax <= 0) continue
            val used = workers.values.sumOf { w -> w.present().filter { specs[it.job]?.team == team.name }.sumOf { specs.getValue(it.job).cpus } }
            if (used > team.cpusMax + 1e-6) throw Broken("quota: ${team.name} uses $used")
        }
        checkOrphaned()
        workers.values.forEach { w -> w.present().forEach { checkCancelled(it.job, "is on ${w.id}") } }
        for ((id, stage) in finals) {
            if (stage != JobPhase.DONE) continue
            val spec = specs.getValue(id)
            (0 until spec.tasks).firstOrNull { TaskId(id, it) !in doneFor }?.let { throw Broken("not_done: $id/$it") }
            if (id in withdrawnAt) throw Broken("went_back: $id")
        }
    }

    /** While nobody leads or the store is out nothing can be recorded, and users are not told anything either. */
    private fun checkOrphaned() {
        if (leader == null || storeDown || refused != null) orphanedFromMs = now
        for (job in live.values) {
            if (job.cancelled) continue
            val at =
                job.spec.predecessors
                    .mapNotNull { withdrawnAt[it] }
                    .minOrNull() ?: continue
            if (now - maxOf(at, job.acceptedAtMs, orphanedFromMs) > Fixtures.settings.cancelS * 1000) throw Broken("orphaned: ${job.spec.id} is not withdrawn")
        }
    }

    private fun checkCancelled(
        id: String,
        what: String,
    ) {
        val at = withdrawnAt[id] ?: return
        if (now - at > Fixtures.settings.cancelS * 1000) throw Broken("ran_cancelled: a task of $id $what ${now - at} ms after\n${history(TaskId(id, 0))}")
    }

    private fun history(task: TaskId) = (zombies + listOfNotNull(leader)).joinToString("\n") { l -> l.log.filter { task.job in it }.joinToString("\n") }

    /** What the leader thinks and what the workers hold, for a failed test. */
    fun state(): String =
        leader!!.scheduler.summary(now) + "\n" +
            leader!!.scheduler.cluster.machines.values.joinToString("\n") { m ->
                "${m.id} ${m.state} ${m.zone} guessed=${m.provisional} term ${m.termSeen}: " +
                    m.attempts.joinToString { "${it.job.spec.id}/${it.index} ${it.state}" }
            } + "\n" + workers.values.joinToString("\n") { w -> "${w.id} alive=${w.alive} ${w.zone} ${w.present()}" }

    fun logs() = (zombies + listOfNotNull(leader)).joinToString("\n") { it.log.joinToString("\n") }

    val unfinished: Set<String> get() = live.filter { !it.value.cancelled }.keys

    /** Jobs of which the store still has more than the final state. */
    val kept: Set<String> get() = live.keys

    companion object {
        /** Milliseconds of simulated time. */
        const val LENGTH = 120_000L

        /** Milliseconds after which the watch has brought a change, at the latest. */
        private const val WATCH_LAG = 300L

        /** Share of the jobs after a cancelled one whose users are told at once. */
        private const val TOLD_SHARE = 0.7

        private val SIBLINGS = listOf("plot-1", "plot-2")
    }
}
