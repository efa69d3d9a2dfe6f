package mintfield.sim

import mintfield.Fixtures
import mintfield.core.Scheduler
import mintfield.core.jobs.AttemptState

/** Elects leaders and does for each what the coroutines of a controller do: renew, exchange, commit, command, call the cloud. */
class LeaderLoop(
    private val context: SimulationContext,
    private val leaders: SimulatedLeaders,
    private val store: SimulatedStore,
    private val cloud: SimulatedCloud,
    private val peers: SimulatedPeers,
    private val network: SimulatedNetwork,
    private val transactions: TransactionDelivery,
) {
    /** Elects a new leader, which replays from the store, while the old one has not noticed yet; not while the store refuses. */
    fun elect() {
        if (!store.allowsElection()) return
        leaders.current?.let { old ->
            leaders.deposed.add(old)
            context.after(context.random.nextLong(100, 20_000)) { leaders.deposed.remove(old) }
        }
        val leader = SimulatedLeader(context, settings(), store.newTerm(), SimulatedPeers.NAMES, store::find)
        leaders.current = leader
        replay(leader)
        renew(leader)
        act(leader)
        network.deliverCopies(leader)
    }

    private fun settings() =
        if (context.faults.ignoreQuota) {
            Fixtures.settings.copy(teams = Fixtures.settings.teams.map { it.copy(cpusMax = 0.0) })
        } else {
            Fixtures.settings
        }

    private fun replay(leader: SimulatedLeader) {
        val scheduler = leader.scheduler
        val nowMs = context.nowMs
        store.zoneFences.values.forEach { scheduler.zoneFencing.replay(it) }
        scheduler.types(listOf(Fixtures.box), nowMs)
        scheduler.listed(cloud.listing(), false, nowMs)
        store.jobs.values.forEach(leader.dependencies::onRecordWritten)
        store.jobs.values
            .filterNot { context.faults.skipCancelledInReplay && it.cancelled }
            .forEach { scheduler.jobChanged(it, nowMs) }
        store.intents.values.forEach { scheduler.replay.intent(it) }
        store.rounds.entries
            .sortedBy { it.value.revision }
            .forEach { (key, round) -> scheduler.replay.round(key, round.record, round.revision, nowMs) }
        scheduler.replay.complete(nowMs)
    }

    /** Each second: renews the lease of [leader], reads the jobs, and exchanges the status with the peers. */
    private fun renew(leader: SimulatedLeader) {
        if (!leaders.isActive(leader)) return
        if (store.serves(leader)) {
            leader.renewedAtMs = context.nowMs
            leader.cancellationWatermark.storeReadCompleted(context.nowMs - SimulatedWatch.LAG_MS)
        }
        peers.exchange(leader)
        context.after(RENEWAL_MS) { renew(leader) }
    }

    private fun act(leader: SimulatedLeader) {
        if (!leaders.isActive(leader)) return
        val scheduler = leader.scheduler
        val nowMs = context.nowMs
        scheduler.tick(nowMs)
        plantFaults(scheduler)
        if (leader.mayAct) {
            if (!leader.committing) scheduler.nextCommit(nowMs, nowMs, MAX_OPERATIONS)?.let { transactions.send(leader, it) }
            scheduler.directCalls(nowMs, MAX_DIRECT_CALLS).forEach { network.sendDirect(leader, it) }
            scheduler.cloudCall(nowMs)?.let { cloud.perform(leader, it) }
        }
        context.after(context.random.nextLong(20, 120)) { act(leader) }
    }

    private fun plantFaults(scheduler: Scheduler) {
        val faults = context.faults
        val machines = scheduler.cluster.machines.values
        if (faults.releaseOnSilence) {
            for (machine in machines) {
                if (context.nowMs - machine.lastContactAtMs <= SILENCE_MS) continue
                machine.attempts.toList().forEach { scheduler.cluster.release(it, context.nowMs, "planted") }
            }
        }
        if (faults.startUnplanned) {
            for (machine in machines) {
                machine.attempts.filter { it.state == AttemptState.PLANNING }.forEach { it.moveTo(AttemptState.PLANNED, context.nowMs) }
            }
        }
        if (faults.ignoreHeartbeatOrder) {
            for (machine in machines) machine.heartbeats.startIncarnation(machine.incarnation)
        }
        if (faults.finishEarly) {
            for (job in scheduler.cluster.jobs.values) {
                if (job.doneTasks > 0) (0 until job.spec.tasks).forEach { job.progress.setDone(it) }
            }
        }
    }

    private companion object {
        const val RENEWAL_MS = 1_000L

        /** Operations of a transaction. */
        const val MAX_OPERATIONS = 16

        /** Direct commands that are sent at once. */
        const val MAX_DIRECT_CALLS = 10

        /** Milliseconds after which the planted fault takes a machine's silence for proof. */
        const val SILENCE_MS = 3_000L
    }
}
