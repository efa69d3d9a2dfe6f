package mintfield.app.leader

import kotlinx.coroutines.delay
import mintfield.app.ExternalServices
import mintfield.app.replica.JobReplicator
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

/** What a new leader reads before it plans anything: the recorded outputs of the steps of all unfinished jobs. */
class Replay(
    private val loop: EventLoop,
    private val services: ExternalServices,
    private val replicator: JobReplicator,
    private val scheduler: Scheduler,
    private val keys: LeaderKeys,
    /** Whether the leader schedules a job. */
    private val mine: (JobSpec) -> Boolean,
) {
    private val store = services.store

    /** Rebuilds the picture: catalogue, jobs, intents, machines, recorded plans and done-sets; then work goes on. */
    suspend fun run(listener: JobListener) {
        val startMs = loop.nowMs()
        // Nobody is renewed on a view of the jobs from before the election.
        while (!replicator.current()) delay(StoreConstants.STORE_RETRY_MS)
        // Before anybody is answered: what an earlier leader gave its word on must hold.
        for (e in readAll(keys.zoneFences)) {
            val key = e.key.removePrefix(keys.zoneFences)
            ZoneFenceCodec.decode(key, e.data).valueOrNull?.let { scheduler.zoneFencing.replay(it) } ?: scheduler.zoneFencing.replayUnreadable(key)
        }
        scheduler.zoneFencing.read = true
        while (services.types.isEmpty()) {
            services.readTypes()
            if (services.types.isEmpty()) delay(FleetConstants.CLOUD_RETRY_MS)
        }
        scheduler.types(services.types.values.toList(), loop.nowMs())
        renewFirst()
        while (!replicator.current()) delay(StoreConstants.STORE_RETRY_MS)
        val intents = readAll(keys.intents)
        val rounds = readAll(keys.rounds).sortedBy { it.revision }
        readMachines()
        val learnedState = readAll(keys.learnedState).map { LearnedStateCodec.decode(it.data) }
        // Abort and accept of other nodes may have come meanwhile; from here on the listener tells them.
        while (!replicator.current()) delay(StoreConstants.STORE_RETRY_MS)
        val now = loop.nowMs()
        replicator.listeners.add(listener)
        replicator.live.values
            .filter { mine(it.spec) }
            .forEach { scheduler.jobChanged(it, now) }
        intents.forEach { scheduler.replayIntent(ScaleOutIntentCodec.decode(it.key.removePrefix(keys.intents), it.data)) }
        for (r in rounds) {
            var keep = false
            val record =
                RoundCodec.decode(r.data) { (job) ->
                    keep = true
                    Log.error("${r.key}: what the round of revision ${r.revision} records of ${job ?: "some job"} cannot be read; it is kept")
                    if (job == null) scheduler.replayUnreadableRound(now) else scheduler.replayUnreadableJob(job)
                }
            scheduler.replayRound(r.key.removePrefix(keys.rounds), record, r.revision, now, keep)
        }
        learnedState.forEach { scheduler.restore(it) }
        scheduler.replayDone(now)
        Log.info(
            "replayed ${scheduler.cluster.jobs.size} jobs, ${rounds.size} rounds, ${intents.size} intents, " +
                "${scheduler.cluster.machines.size} machines in ${loop.nowMs() - startMs} ms",
        )
    }

    /**
     * Lets workers be renewed before the processor is taken for reading and replaying. Only just after the start is that needed:
     * most code still runs interpreted then, and after an end of all controllers the leases are half used up.
     */
    private suspend fun renewFirst() {
        if (loop.nowMs() - loop.startedAtMs > LeadershipConstants.WARMED_UP_MS) return
        val from = loop.nowMs()
        delay(LeadershipConstants.FIRST_HEARTBEATS_QUIET_MS)
        while (scheduler.renewing(loop.nowMs()) &&
            loop.nowMs() - from < LeadershipConstants.MAX_REPLAY_DELAY_MS
        ) {
            delay(LeadershipConstants.REPLAY_DELAY_CHECK_MS)
        }
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

    /** One reading of the machine list for all replayed jobs; without it, reports must tell the machines. */
    private suspend fun readMachines() {
        var after: String? = null
        while (true) {
            val page = (services.cloud.list(after) as? CloudResult.Ok)?.value ?: return
            scheduler.listed(page.machines, page.hasNext, loop.nowMs())
            if (!page.hasNext) return
            after = page.machines.lastOrNull()?.id ?: return
        }
    }
}
