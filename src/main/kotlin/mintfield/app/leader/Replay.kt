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
import mintfield.core.jobs.KnownJob
import mintfield.core.jobs.RoundKey
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
 * Restores the state of a new leader's scheduler from the records of earlier leaders (zone fences, scale-out intents, rounds and learned
 * estimates), the jobs, and the cloud's machine types and machine list. Failed requests are repeated until they succeed; only the machine
 * list is not requested again.
 */
class Replay(
    private val loop: EventLoop,
    private val services: ExternalServices,
    private val replicator: JobReplicator,
    private val scheduler: Scheduler,
    private val keys: LeaderKeys,
    /** Whether the leader schedules a job: it belongs to a team of the leader's shard, or there are no shards. */
    private val isScheduledHere: (JobSpec) -> Boolean,
) {
    private val store = services.store

    private class LeaderRecords(
        val intents: List<Entry>,
        /** Records of rounds, in the order in which they were first written. */
        val rounds: List<Entry>,
        val learnedState: List<LearnedState>,
    )

    /** Replays all records. Afterwards the scheduler may plan, and [listener] is notified of further job changes. */
    suspend fun run(listener: JobListener) {
        val startedAtMs = loop.nowMs()
        // Workers' leases may be renewed only if the replica shows the jobs as of the election or later.
        readJobs()
        // Zone fences of earlier leaders must be in force before the first response to a heartbeat.
        replayZoneFences()
        readTypes()
        awaitFirstHeartbeats()
        readJobs()
        val records = readLeaderRecords()
        // Other controllers may have accepted or cancelled jobs while the records were read. The listener is notified of later changes.
        readJobs()
        handOver(records, listener)
        Log.info(
            "replayed ${scheduler.cluster.jobs.size} jobs, ${records.rounds.size} rounds, ${records.intents.size} intents, " +
                "${scheduler.cluster.machines.size} machines in ${loop.nowMs() - startedAtMs} ms",
        )
        logExceededQuotas()
    }

    /** Logs the teams that the replayed plans bring above their limits. Plans are made within the limits, so none should be. */
    private fun logExceededQuotas() {
        for ((team, used) in scheduler.cluster.quotas.exceeded()) {
            Log.error(
                "team ${team.name}: replayed plans exceed its limit: ${used.cpus} of ${team.cpusMax} CPUs, " +
                    "${used.gpus} of ${team.gpusMax} GPUs (0: no limit)",
            )
        }
    }

    private suspend fun readJobs() {
        while (!replicator.awaitCurrent()) delay(StoreConstants.STORE_RETRY_MS)
    }

    private suspend fun replayZoneFences() {
        val fencing = scheduler.zoneFencing
        for (entry in readAll(keys.zoneFences)) {
            val key = entry.key.removePrefix(keys.zoneFences)
            ZoneFenceCodec.decode(key, entry.data).valueOrNull?.let { fencing.replay(it) } ?: fencing.replayUnreadable(key)
        }
        fencing.recordsRead()
    }

    private suspend fun readTypes() {
        while (services.types.isEmpty()) {
            services.readTypes()
            if (services.types.isEmpty()) delay(FleetConstants.CLOUD_RETRY_MS)
        }
        scheduler.fleet.machineTypesRead(services.types.values.toList(), loop.nowMs())
    }

    /**
     * Delays the replay while workers send their first heartbeats, so that the replay does not compete with them for the CPU. The delay is
     * needed only shortly after the start of the process, when its code is still interpreted and, if all controllers were down, half of
     * the workers' lease time has passed.
     */
    private suspend fun awaitFirstHeartbeats() {
        if (loop.nowMs() - loop.startedAtMs > LeadershipConstants.WARMED_UP_MS) return
        val startedAtMs = loop.nowMs()
        delay(LeadershipConstants.FIRST_HEARTBEATS_QUIET_MS)
        while (scheduler.heartbeats.receivesFirstHeartbeats(loop.nowMs()) && loop.nowMs() - startedAtMs < LeadershipConstants.MAX_REPLAY_DELAY_MS) {
            delay(LeadershipConstants.REPLAY_DELAY_CHECK_MS)
        }
    }

    private suspend fun readLeaderRecords(): LeaderRecords {
        val intents = readAll(keys.intents)
        val rounds = readAll(keys.rounds).sortedBy { RoundKey.parse(it.key.removePrefix(keys.rounds), it.revision) }
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

    /** Reads the cloud's machine list once for all replayed jobs. If a request fails, the machines are learned from their heartbeats. */
    private suspend fun readMachines() {
        var after: String? = null
        do {
            val page = (services.cloud.list(after) as? CloudResult.Ok)?.value ?: return
            scheduler.fleet.machinesListed(page.machines, page.hasNext, loop.nowMs())
            after = page.machines.lastOrNull()?.id
        } while (page.hasNext && after != null)
    }

    /** Passes jobs and [records] to the scheduler without suspending, so that no change can occur in between. */
    private fun handOver(
        records: LeaderRecords,
        listener: JobListener,
    ) {
        val nowMs = loop.nowMs()
        replicator.listeners.add(listener)
        val jobs = replicator.unfinishedJobs.values.filter { isScheduledHere(it.spec) }
        jobs.forEach { scheduler.jobChanged(it, nowMs) }
        records.intents.forEach { scheduler.replay.intent(ScaleOutIntentCodec.decode(it.key.removePrefix(keys.intents), it.data)) }
        records.rounds.forEach { replayRound(it, nowMs) }
        records.learnedState.forEach { scheduler.replay.restore(it) }
        scheduler.replay.complete(nowMs)
    }

    /** Replays the round in [entry]. If parts of the record or records of its jobs are unreadable, the rest is replayed and the record is kept. */
    private fun replayRound(
        entry: Entry,
        nowMs: Long,
    ) {
        var keep = false
        val record =
            RoundCodec.decode(entry.data) { (job) ->
                keep = true
                Log.error("${entry.key}: cannot decode round of revision ${entry.revision} for ${job ?: "an unknown job"}; record kept, rest replayed")
                if (job == null) scheduler.replay.unreadableRound(nowMs) else scheduler.replay.unreadableJob(job)
            }
        if (record.parts.any { replicator.known(it.job) == KnownJob.Unreadable }) keep = true
        val number = entry.key.removePrefix(keys.rounds)
        Log.info("round $number of revision ${entry.revision} replayed: ${record.summary}")
        scheduler.replay.round(number, record, entry.revision, nowMs, keep)
    }
}
