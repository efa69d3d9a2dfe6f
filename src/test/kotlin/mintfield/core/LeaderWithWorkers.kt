package mintfield.core

import mintfield.Fixtures
import mintfield.core.jobs.RoundRecord
import mintfield.core.model.JobSpec
import mintfield.sim.SimWorker

/**
 * One leader at a time with simulated workers and a store that applies each transaction at once. Nothing happens by itself: a test makes
 * the exchanges in the order that it needs.
 */
class LeaderWithWorkers(
    machines: Int,
) {
    private class StoredRound(
        val key: String,
        val revision: Long,
        val record: RoundRecord,
    )

    private var revision = 10L
    private val jobs = LinkedHashMap<String, JobSpec>()
    private val cancelled = HashSet<String>()
    private val rounds = ArrayList<StoredRound>()

    var nowMs = 1_000L
        private set
    val workers = (1..machines).map { SimWorker("m-$it", "north", spot = false, nowMs, LEASE_MS, RUN_TIME_MS, slots = 100, onStart = { _, _ -> starts++ }) }

    /** Direct calls that workers have carried out and answered. */
    val answeredCalls = ArrayList<DirectCall>()

    /** Number of task starts on all workers. */
    var starts = 0
        private set
    var scheduler = elect()
        private set

    /** Replaces the leader by a new one, which replays the records. */
    fun failOver() {
        scheduler = elect()
    }

    private fun elect(): Scheduler {
        val elected = Scheduler(Fixtures.settings, ++revision) { }
        elected.fleet.machineTypesRead(listOf(Fixtures.box), nowMs)
        elected.fleet.machinesListed(emptyList(), false, nowMs)
        jobs.values.forEach { elected.jobChanged(Fixtures.accepted(it, JOB_REVISION, cancelled = it.id in cancelled), nowMs) }
        rounds.forEach { elected.replay.round(it.key, it.record, it.revision, nowMs) }
        elected.replay.complete(nowMs)
        return elected
    }

    fun submit(spec: JobSpec) {
        jobs[spec.id] = spec
        scheduler.jobChanged(Fixtures.accepted(spec, JOB_REVISION), nowMs)
    }

    /** Cancels job [id]. Its record is kept, so that it is not removed before its tasks have ended. */
    fun cancel(id: String) {
        cancelled.add(id)
        scheduler.jobChanged(Fixtures.accepted(jobs.getValue(id), ++revision, cancelled = true), nowMs)
    }

    /** Lets [ms] milliseconds pass, without any exchange. */
    fun pass(ms: Long) {
        nowMs += ms
        workers.forEach { it.step(nowMs) }
    }

    /** Exchanges a heartbeat and its response with each of [from]. */
    fun heartbeats(from: List<SimWorker> = workers) {
        for (worker in from) {
            worker.step(nowMs)
            val heartbeat = worker.heartbeat()
            val response = scheduler.heartbeat(heartbeat, mayAct = true, nowMs = nowMs)
            if (response is HeartbeatResponse.Commands) worker.receiveResponse(response.term, response.commands, nowMs, heartbeat.incarnation)
        }
    }

    /** Applies all transactions that the leader has to make now. */
    fun commitAll() {
        while (true) {
            val commit = scheduler.nextCommit(nowMs, nowMs, MAX_OPERATIONS) ?: return
            revision++
            commit.writes.filterIsInstance<Write.RecordRound>().forEach { rounds.add(StoredRound(it.key, revision, it.record)) }
            commit.writes.filterIsInstance<Write.DeleteRound>().forEach { deleted -> rounds.removeAll { it.key == deleted.key } }
            scheduler.committed(commit, CommitResult.Done(revision), nowMs)
        }
    }

    /** Delivers and answers all direct calls that are due. */
    fun callDirectly() {
        for (call in scheduler.directCalls(nowMs, MAX_CALLS)) {
            val response = deliver(call)
            answeredCalls.add(call)
            scheduler.directCallResponded(call, response, nowMs)
        }
    }

    /** Delivers all answered calls once more. */
    fun repeatAnsweredCalls() = answeredCalls.forEach(::deliver)

    private fun deliver(call: DirectCall) = workers.first { it.id == call.machine }.receiveCommands(call.term, call.incarnation, call.commands)

    /** Runs all exchanges every [ROUND_MS] for [ms] milliseconds. */
    fun run(ms: Long) {
        val untilMs = nowMs + ms
        while (nowMs < untilMs) {
            pass(ROUND_MS)
            heartbeats()
            commitAll()
            callDirectly()
        }
    }

    private companion object {
        const val LEASE_MS = 10_000L

        /** Milliseconds added to the run time of each task. */
        const val RUN_TIME_MS = 2_000L
        const val ROUND_MS = 250L
        const val JOB_REVISION = 5L
        const val MAX_OPERATIONS = 16
        const val MAX_CALLS = 20
    }
}
