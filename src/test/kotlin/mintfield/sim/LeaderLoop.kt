package mintfield.sim

import mintfield.Fixtures
import mintfield.core.Scheduler
import mintfield.core.jobs.AttemptState
import mintfield.core.jobs.RoundKey

/** Elects leaders and runs the periodic work of each: lease renewals, exchanges with peers, commits, direct commands, cloud calls. */
class LeaderLoop(
    private val context: SimulationContext,
    private val leaders: SimulatedLeaders,
    private val store: SimulatedStore,
    private val cloud: SimulatedCloud,
    private val controllers: SimulatedControllers,
    private val network: SimulatedNetwork,
    private val transactions: TransactionDelivery,
) {
    /** Elects a new leader, which replays from the store; the old one continues for up to 20 s. Does nothing while the store allows no election. */
    fun elect() {
        if (!store.allowsElection()) return
        leaders.current?.let { old ->
            leaders.deposed.add(old)
            context.after(context.random.nextLong(100, 20_000)) { leaders.deposed.remove(old) }
        }
        val leader = SimulatedLeader(context, settings(), store.newTerm(), controllers.drawCandidate(), controllers, leaders, store::find)
        leaders.current = leader
        replay(leader)
        renew(leader)
        runCycle(leader)
        network.deliverCopies(leader)
    }

    private fun settings() =
        if (context.defects.ignoreQuota) {
            Fixtures.settings.copy(teams = Fixtures.settings.teams.map { it.copy(cpusMax = 0.0) })
        } else {
            Fixtures.settings
        }

    private fun replay(leader: SimulatedLeader) {
        val scheduler = leader.scheduler
        val nowMs = context.nowMs
        store.zoneFences.values.forEach { scheduler.zoneFencing.replay(it) }
        scheduler.fleet.machineTypesRead(listOf(Fixtures.box), nowMs)
        scheduler.fleet.machinesListed(cloud.listing(), false, nowMs)
        store.jobs.values.forEach(leader.dependencies::onRecordWritten)
        store.jobs.values
            .filterNot { context.defects.skipCancelledInReplay && it.cancelled }
            .forEach { scheduler.jobChanged(it, nowMs) }
        store.intents.values.forEach { scheduler.replay.intent(it) }
        store.rounds.entries
            .sortedBy { RoundKey.parse(it.key, it.value.revision) }
            .forEach { (key, round) -> scheduler.replay.round(key, round.record, round.revision, nowMs) }
        scheduler.replay.complete(nowMs)
    }

    /** Every second renews the lease of [leader], completes a read of the jobs and fetches the cancellations from the peers. */
    private fun renew(leader: SimulatedLeader) {
        if (!leaders.isActive(leader)) return
        if (store.serves(leader)) {
            leader.renewedAtMs = context.nowMs
            leader.cancellations.watermark.storeReadCompleted(context.nowMs - SimulatedWatch.LAG_MS)
            leader.scheduler.jobRecordsRead(context.nowMs - SimulatedWatch.LAG_MS)
        }
        controllers.exchange(leader)
        context.after(RENEWAL_MS) { renew(leader) }
    }

    private fun runCycle(leader: SimulatedLeader) {
        if (!leaders.isActive(leader)) return
        val scheduler = leader.scheduler
        val nowMs = context.nowMs
        scheduler.tick(nowMs)
        injectDefects(scheduler)
        if (leader.mayAct) {
            if (!leader.committing) scheduler.nextCommit(nowMs, nowMs, MAX_OPERATIONS)?.let { transactions.send(leader, it) }
            scheduler.directCalls(nowMs, MAX_DIRECT_CALLS).forEach { network.sendDirect(leader, it) }
            scheduler.cloudCall(nowMs)?.let { cloud.perform(leader, it) }
        }
        context.after(context.random.nextLong(20, 120)) { runCycle(leader) }
    }

    private fun injectDefects(scheduler: Scheduler) {
        val defects = context.defects
        val machines = scheduler.cluster.machines.values
        if (defects.releaseUnresponsive) {
            for (machine in machines) {
                if (context.nowMs - machine.lastContactAtMs <= UNRESPONSIVE_AFTER_MS) continue
                machine.attempts.toList().forEach { scheduler.cluster.release(it, context.nowMs, "injected defect") }
            }
        }
        if (defects.startUnplanned) {
            for (machine in machines) {
                machine.attempts.filter { it.state == AttemptState.PLANNING }.forEach { it.moveTo(AttemptState.PLANNED, context.nowMs) }
            }
        }
        if (defects.ignoreHeartbeatOrder) {
            for (machine in machines) machine.heartbeats.startIncarnation(machine.incarnation)
        }
        if (defects.finishEarly) {
            for (job in scheduler.cluster.jobs.values) {
                if (job.doneTasks > 0) (0 until job.spec.tasks).forEach { job.progress.setDone(it) }
            }
        }
    }

    private companion object {
        const val RENEWAL_MS = 1_000L

        /** Maximum number of operations in a transaction. */
        const val MAX_OPERATIONS = 16

        /** Maximum number of direct commands sent per cycle. */
        const val MAX_DIRECT_CALLS = 10

        /** Milliseconds without contact after which [InjectedDefects.releaseUnresponsive] releases the attempts of a machine. */
        const val UNRESPONSIVE_AFTER_MS = 3_000L
    }
}
