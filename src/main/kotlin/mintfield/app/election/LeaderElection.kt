package mintfield.app.election

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.plus
import mintfield.app.ExternalServices
import mintfield.app.leader.Leader
import mintfield.app.leader.LeaderTenure
import mintfield.app.replica.JobReplicator
import mintfield.app.sharding.ShardElection
import mintfield.core.constants.LeadershipConstants
import mintfield.core.constants.PlacementConstants
import mintfield.core.constants.ShardingConstants
import mintfield.core.constants.StoreConstants
import mintfield.core.leadership.CancellationWatermark
import mintfield.core.leadership.LeaderRole
import mintfield.core.leadership.LeaseClock
import mintfield.core.leadership.Role
import mintfield.core.ownership.ShardSettings
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import mintfield.io.store.Entry
import mintfield.io.store.KeyWrite
import mintfield.io.store.LeaderKeys
import mintfield.io.store.Precondition
import mintfield.io.store.StoreResult
import mintfield.io.store.TxnOutcome
import kotlin.random.Random

/**
 * Takes part in the election of one leader: reads the leader key, watches it while another controller leads, and campaigns when the key does
 * not exist. The key is attached to a lease of the store and is deleted when the leader no longer renews that lease. The revision
 * of the key is the term.
 */
class LeaderElection(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val services: ExternalServices,
    private val replicator: JobReplicator,
    private val cancellationWatermark: CancellationWatermark,
    /** Additional parameters of the election of a shard's leader; null if the machines are not divided into shards. */
    private val shardElection: ShardElection? = null,
    /** Announces a won election to the peers. */
    private val announce: () -> Unit,
) {
    /** The shard whose leader is elected; null if one leader manages all machines. */
    val shard: ShardSettings? = shardElection?.shard
    private val keys = LeaderKeys(shard?.name)
    private val store = services.store
    private val leaseMs = services.settings.operator.leaderLeaseMs
    private val controllerName = services.settings.member
    private val random = Random(System.nanoTime() xor controllerName.hashCode().toLong())

    /** Distinguishes this process from earlier processes of the same controller. */
    private val nonce = java.lang.Long.toHexString(random.nextLong())
    private val leaderRole = LeaderRole { Log.info(if (shard == null) it else "${shard.name}: $it") }

    /** The leader in this process; null while this process does not lead. */
    var leader: Leader? = null
        private set

    /** The last peer that claimed to lead while this process could not read the leader key; null if none. */
    private var claimedLeader: String? = null

    /** The controller that leads, as far as this process knows; null if unknown. */
    val knownLeader: String? get() = if (leaderRole.role == Role.SEEKING) claimedLeader else leaderRole.leader

    /** Takes part in the election until cancelled. A failed step is retried. */
    suspend fun run() {
        while (true) {
            try {
                step()
            } catch (e: IllegalStateException) {
                currentCoroutineContext().ensureActive()
                Log.error("election step failed: ${e.message}")
                delay(StoreConstants.STORE_RETRY_MS)
            }
        }
    }

    private suspend fun step() {
        when (leaderRole.role) {
            Role.SEEKING, Role.FOLLOWING -> discoverLeader()
            Role.CANDIDATE -> campaign()
            Role.LEADING -> delay(PlacementConstants.TICK_INTERVAL_MS)
        }
    }

    private suspend fun discoverLeader() {
        val result = store.get(keys.leader, urgent = true)
        if (result !is StoreResult.Ok) return delay(StoreConstants.STORE_RETRY_MS * 2)
        val entry = result.value
        when {
            entry == null -> leaderRole.moveTo(Role.CANDIDATE, null)
            controllerOf(entry.data) == controllerName && leader == null -> endStaleLease(entry)
            else -> follow(entry)
        }
    }

    /** Ends the lease of a leader key that an earlier process of this controller wrote. That process has ended, so nothing relies on the lease. */
    private suspend fun endStaleLease(entry: Entry) {
        Log.info("ending the lease of an earlier process of $controllerName, term ${entry.revision}")
        entry.lease?.let { store.endLease(it) }
        leaderRole.moveTo(Role.SEEKING, null)
    }

    /** Watches the leader key until it is deleted, or until a watch fails or starts from a revision that is too old. */
    private suspend fun follow(entry: Entry) {
        leaderRole.moveTo(Role.FOLLOWING, controllerOf(entry.data))
        var after = entry.revision
        while (true) {
            val result = store.watch(keys.leader, after, LeadershipConstants.LEADER_WATCH_MS, urgent = true)
            if (result !is StoreResult.Ok) return delay(StoreConstants.STORE_RETRY_MS * 2)
            val changes = result.value
            if (changes.tooOld) return
            after = maxOf(after, changes.revision)
            val newest = changes.newest() ?: continue
            val data = newest.data ?: return leaderRole.moveTo(Role.CANDIDATE, null)
            leaderRole.moveTo(Role.FOLLOWING, controllerOf(data))
        }
    }

    private fun controllerOf(leaderValue: Map<String, Any?>): String? = leaderValue["member"] as? String

    private suspend fun campaign() {
        delay(random.nextLong(LeadershipConstants.ELECTION_JITTER_MS))
        if (shardElection != null) {
            // Lets the preferred leader of the shard campaign first, if it is up.
            delay(shardElection.campaignDelayMs())
            if (!shardElection.activation.ensureActivated()) return seekAgainAfter(ShardingConstants.ACTIVATION_RETRY_MS)
        }
        val sentAtMs = loop.nowMs()
        val lease = (store.grantLease(leaseMs) as? StoreResult.Ok)?.value ?: return seekAgainAfter(StoreConstants.STORE_RETRY_MS)
        when (val claim = claimLeaderKey(lease)) {
            is Claim.Won -> lead(LeaderTenure(claim.term, lease, nonce, controllerName, LeaseClock(leaseMs, sentAtMs)))
            Claim.Lost -> {
                store.endLease(lease)
                leaderRole.moveTo(Role.SEEKING, null)
            }
        }
    }

    private suspend fun seekAgainAfter(delayMs: Long) {
        delay(delayMs)
        leaderRole.moveTo(Role.SEEKING, null)
    }

    private sealed interface Claim {
        class Won(
            val term: Long,
        ) : Claim

        data object Lost : Claim
    }

    /** Creates the leader key, attached to [lease], unless it exists already. */
    private suspend fun claimLeaderKey(lease: Long): Claim {
        val put = KeyWrite.Put(keys.leader, LeaderTenure.leaderValue(controllerName, nonce), lease)
        val preconditions = listOfNotNull(Precondition(keys.leader, 0), shardElection?.activation?.precondition)
        return when (val result = store.txn(preconditions, listOf(put), urgent = true)) {
            is StoreResult.Ok -> {
                shardElection?.activation?.checkMarker(result.value)
                (result.value as? TxnOutcome.Applied)?.let { Claim.Won(it.revision) } ?: Claim.Lost
            }
            is StoreResult.Refused -> Claim.Lost
            is StoreResult.Unknown -> resolveUnknownClaim(lease)
        }
    }

    /**
     * Determines the outcome of a claim that got no response. The claim is won if the key was written by this process and is attached to [lease]. If
     * the key is attached to another lease, an earlier claim of this process was applied late. Nobody renews that lease, so a leader that
     * relied on it would continue after the lease has expired, concurrently with the next leader.
     */
    private suspend fun resolveUnknownClaim(lease: Long): Claim {
        val entry = (store.get(keys.leader, urgent = true) as? StoreResult.Ok)?.value ?: return Claim.Lost
        return if (entry.data["nonce"] == nonce && entry.lease == lease) Claim.Won(entry.revision) else Claim.Lost
    }

    private fun lead(tenure: LeaderTenure) {
        leaderRole.moveTo(Role.LEADING, controllerName)
        Log.info("leading ${shard?.name ?: ""}".trim() + " with term ${tenure.term}")
        val leaderScope = scope + SupervisorJob(scope.coroutineContext[Job])
        val newLeader =
            Leader(loop, leaderScope, services, replicator, tenure, cancellationWatermark, shardElection?.newLeadership()) { reason ->
                depose(leaderScope, reason)
            }
        leader = newLeader
        newLeader.start()
        announce()
    }

    /** Gives up the leadership and ends its lease, so that another controller can be elected before the lease would expire. */
    suspend fun transferLeadership(reason: String) {
        val resigning = leader ?: return
        resigning.resign(reason)
        // The lease must not end before the leader has stopped: once it ends, another controller may lead at any moment.
        resigning.endLease()
    }

    private fun depose(
        leaderScope: CoroutineScope,
        reason: String,
    ) {
        if (leader == null) return
        Log.info("leadership ended: $reason")
        leader?.let { replicator.listeners.remove(it.jobListener) }
        leader = null
        leaderRole.moveTo(Role.SEEKING, null)
        leaderScope.cancel()
    }

    /**
     * Handles the notice of [peer] that it leads with [term]. A leader in this process with a lower term is deposed at once, so that workers
     * that still send their heartbeats here are redirected even while the store cannot be reached.
     */
    fun peerLeads(
        peer: String,
        term: Long,
    ) {
        val current = leader
        if (current != null && term > current.scheduler.cluster.term) {
            current.resign("$peer leads with term $term")
            claimedLeader = peer
            return
        }
        if (current == null && leaderRole.role == Role.SEEKING) claimedLeader = peer
    }
}
