package mintfield.app.leader

import kotlinx.coroutines.delay
import mintfield.app.ExternalServices
import mintfield.app.replica.JobReplicator
import mintfield.core.LearnedState
import mintfield.core.Scheduler
import mintfield.core.constants.FleetConstants
import mintfield.core.constants.LeadershipConstants
import mintfield.core.constants.StoreConstants
import mintfield.core.jobs.JobListener
import mintfield.core.model.JobSpec
import mintfield.io.cloud.CloudResult
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import mintfield.io.store.Entry
import mintfield.io.store.LeaderKeys
import mintfield.io.store.LearnedStateCodec
import mintfield.io.store.RoundCodec
import mintfield.io.store.ScaleOutIntentCodec
import mintfield.io.store.StoreResult
import mintfield.io.store.ZoneFenceCodec

/**
 * Reads what earlier leaders have recorded and hands it to the scheduler of a new one: zone fences, machine types, jobs, scale-out
 * intents, rounds and learned estimates, and the cloud's machine list. Requests that fail are repeated until they succeed.
 */
class Replay(
    private val loop: EventLoop,
    private val services: ExternalServices,
    private val replicator: JobReplicator,
    private val scheduler: Scheduler,
    private val keys: LeaderKeys,
    /** Whether the leader schedules a job. */
    private val isScheduledHere: (JobSpec) -> Boolean,
) {
    private val store = services.store

    private class LeaderRecords(
        val intents: List<Entry>,
        /** In the order of their revisions. */
        val rounds: List<Entry>,
        val learnedState: List<LearnedState>,
    )

    /** Replays everything; then the scheduler may plan, and [listener] is notified of further changes of jobs. */
    suspend fun run(listener: JobListener) {
        val startedAtMs = loop.nowMs()
        // No lease is renewed on a view of the jobs from before the election.
        readJobs()
        // The fences of an earlier leader must hold before any heartbeat is answered.
        replayZoneFences()
        readTypes()
        renewFirst()
        readJobs()
        val records = readLeaderRecords()
        // Jobs may have been accepted or cancelled at other controllers meanwhile; from here on the listener is notified of them.
        readJobs()
        handOver(records, listener)
        Log.info(
            "replayed ${scheduler.cluster.jobs.size} jobs, ${records.rounds.size} rounds, ${records.intents.size} intents, " +
                "${scheduler.cluster.machines.size} machines in ${loop.nowMs() - startedAtMs} ms",
        )
    }

    private suspend fun readJobs() {
        while (!replicator.current()) delay(StoreConstants.STORE_RETRY_MS)
    }

    private suspend fun replayZoneFences() {
        val fencing = scheduler.zoneFencing
        for (entry in readAll(keys.zoneFences)) {
            val key = entry.key.removePrefix(keys.zoneFences)
            ZoneFenceCodec.decode(key, entry.data).valueOrNull?.let { fencing.replay(it) } ?: fencing.replayUnreadable(key)
        }
        fencing.hasReadRecords = true
    }

    private suspend fun readTypes() {
        while (services.types.isEmpty()) {
            services.readTypes()
            if (services.types.isEmpty()) delay(FleetConstants.CLOUD_RETRY_MS)
        }
        scheduler.types(services.types.values.toList(), loop.nowMs())
    }

    /**
     * Leaves the processor to heartbeats before records are read and replayed, as long as workers send their first ones. That is needed
     * only just after the start of the process: its code is still interpreted, and the leases are half used up if all controllers had
     * ended.
     */
    private suspend fun renewFirst() {
        if (loop.nowMs() - loop.startedAtMs > LeadershipConstants.WARMED_UP_MS) return
        val startedAtMs = loop.nowMs()
        delay(LeadershipConstants.FIRST_HEARTBEATS_QUIET_MS)
        while (scheduler.heartbeats.receivesFirstHeartbeats(loop.nowMs()) && loop.nowMs() - startedAtMs < LeadershipConstants.MAX_REPLAY_DELAY_MS) {
            delay(LeadershipConstants.REPLAY_DELAY_CHECK_MS)
        }
    }

    private suspend fun readLeaderRecords(): LeaderRecords {
        val intents = readAll(keys.intents)
        val rounds = readAll(keys.rounds).sortedBy { it.revision }
        readMachines()
        val learnedState = readAll(keys.learnedState).map { LearnedStateCodec.decode(it.data) }
        return LeaderRecords(intents, rounds, learnedState)
    }

    private suspend fun readAll(prefix: String): List<Entry> {
        val found = ArrayList<Entry>()
        while (true) {
            val page = (store.list(prefix, found.lastOrNull()?.key, StoreConstants.PAGE_ENTRIES) as? StoreResult.Ok)?.value
            if (page == null) {
                delay(StoreConstants.STORE_RETRY_MS)
                continue
            }
            found.addAll(page.entries)
            if (!page.hasNext || page.entries.isEmpty()) return found
        }
    }

    /** Reads the cloud's machine list once for all replayed jobs; if that fails, heartbeats have to tell of the machines. */
    private suspend fun readMachines() {
        var after: String? = null
        do {
            val page = (services.cloud.list(after) as? CloudResult.Ok)?.value ?: return
            scheduler.listed(page.machines, page.hasNext, loop.nowMs())
            after = page.machines.lastOrNull()?.id
        } while (page.hasNext && after != null)
    }

    /** Hands everything to the scheduler without suspending, so that no change comes in between. */
    private fun handOver(
        records: LeaderRecords,
        listener: JobListener,
    ) {
        val nowMs = loop.nowMs()
        replicator.listeners.add(listener)
        val jobs = replicator.live.values.filter { isScheduledHere(it.spec) }
        jobs.forEach { scheduler.jobChanged(it, nowMs) }
        records.intents.forEach { scheduler.replay.intent(ScaleOutIntentCodec.decode(it.key.removePrefix(keys.intents), it.data)) }
        records.rounds.forEach { replayRound(it, nowMs) }
        records.learnedState.forEach { scheduler.replay.restore(it) }
        scheduler.replay.complete(nowMs)
    }

    /** A record that can be read in part only is replayed as far as that goes, and kept. */
    private fun replayRound(
        entry: Entry,
        nowMs: Long,
    ) {
        var keep = false
        val record =
            RoundCodec.decode(entry.data) { (job) ->
                keep = true
                Log.error("${entry.key}: what the round of revision ${entry.revision} records of ${job ?: "some job"} cannot be read; it is kept")
                if (job == null) scheduler.replay.unreadableRound(nowMs) else scheduler.replay.unreadableJob(job)
            }
        scheduler.replay.round(entry.key.removePrefix(keys.rounds), record, entry.revision, nowMs, keep)
    }
}
