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
 * This process's part in the election of one leader: it looks for the leader key, watches it while another leads, and campaigns when
 * there is none. The key hangs on a store lease, so that it disappears when its owner no longer renews it; its revision is the term.
 */
class LeaderElection(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val services: ExternalServices,
    private val replicator: JobReplicator,
    private val cancellationWatermark: CancellationWatermark,
    /** What the election of a shard's leader needs besides; null if machines are not shared. */
    private val part: ShardElection? = null,
    /** Notifies the peers of a won election. */
    private val announce: () -> Unit,
) {
    /** The shard whose leader is elected; null if there is one leader of all machines. */
    val shard: ShardSettings? = part?.shard
    private val keys = LeaderKeys(shard?.name)
    private val store = services.store
    private val leaseMs = services.settings.operator.leaderLeaseMs
    private val memberName = services.settings.member
    private val random = Random(System.nanoTime() xor memberName.hashCode().toLong())

    /** Distinguishes this process from an earlier one of the same controller. */
    private val nonce = java.lang.Long.toHexString(random.nextLong())
    private val leaderRole = LeaderRole { Log.info(if (shard == null) it else "${shard.name}: $it") }

    /** The leader that runs in this process; null while it does not lead. */
    var leader: Leader? = null
        private set

    /** The peer that said it leads while the state service could not be asked. */
    private var claimedLeader: String? = null

    /** The member that leads, as far as is known here; null if none is known. */
    val known: String? get() = if (leaderRole.role == Role.SEEKING) claimedLeader else leaderRole.leader

    /** Takes part in the election until cancelled. A step that fails is tried again. */
    suspend fun run() {
        while (true) {
            try {
                step()
            } catch (e: IllegalStateException) {
                currentCoroutineContext().ensureActive()
                Log.error("leadership: ${e.message}")
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
            memberOf(entry.data) == memberName && leader == null -> endStaleLease(entry)
            else -> follow(entry)
        }
    }

    /** An own key that this process does not hold is from an earlier one, which is gone: its lease may end now. */
    private suspend fun endStaleLease(entry: Entry) {
        Log.info("ending the lease of an earlier process of $memberName, term ${entry.revision}")
        entry.lease?.let { store.endLease(it) }
        leaderRole.moveTo(Role.SEEKING, null)
    }

    /** Watches the leader key until it is gone, or the state service cannot tell. */
    private suspend fun follow(entry: Entry) {
        leaderRole.moveTo(Role.FOLLOWING, memberOf(entry.data))
        var after = entry.revision
        while (true) {
            val result = store.watch(keys.leader, after, LeadershipConstants.LEADER_WATCH_MS, urgent = true)
            if (result !is StoreResult.Ok) return delay(StoreConstants.STORE_RETRY_MS * 2)
            val changes = result.value
            if (changes.tooOld) return
            after = maxOf(after, changes.revision)
            val newest = changes.newest() ?: continue
            val data = newest.data ?: return leaderRole.moveTo(Role.CANDIDATE, null)
            leaderRole.moveTo(Role.FOLLOWING, memberOf(data))
        }
    }

    private fun memberOf(leaderValue: Map<String, Any?>): String? = leaderValue["member"] as? String

    private suspend fun campaign() {
        delay(random.nextLong(LeadershipConstants.ELECTION_JITTER_MS))
        if (part != null) {
            // The controller that should lead the shard goes first, if it is up.
            delay(part.campaignDelayMs())
            if (!part.activation.ensureActivated()) return seekAgainAfter(ShardingConstants.ACTIVATION_RETRY_MS)
        }
        val sentAtMs = loop.nowMs()
        val lease = (store.grantLease(leaseMs) as? StoreResult.Ok)?.value ?: return seekAgainAfter(StoreConstants.STORE_RETRY_MS)
        when (val claim = claimLeaderKey(lease)) {
            is Claim.Won -> lead(LeaderTenure(claim.term, lease, nonce, memberName, LeaseClock(leaseMs, sentAtMs)))
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

    /** Puts the leader key on [lease], unless another member holds it. */
    private suspend fun claimLeaderKey(lease: Long): Claim {
        val put = KeyWrite.Put(keys.leader, LeaderTenure.leaderValue(memberName, nonce), lease)
        val preconditions = listOfNotNull(Precondition(keys.leader, 0), part?.activation?.precondition)
        return when (val result = store.txn(preconditions, listOf(put), urgent = true)) {
            is StoreResult.Ok -> {
                part?.activation?.checkMarker(result.value)
                (result.value as? TxnOutcome.Applied)?.let { Claim.Won(it.revision) } ?: Claim.Lost
            }
            is StoreResult.Refused -> Claim.Lost
            is StoreResult.Unknown -> claimWithoutAnswer(lease)
        }
    }

    /**
     * After a claim without an answer: won if the key is ours and hangs on [lease]. A key of ours on another lease was put by an
     * earlier claim that was carried out late. Nobody renews that lease, so leading by it would go on after its end, beside the next
     * leader.
     */
    private suspend fun claimWithoutAnswer(lease: Long): Claim {
        val entry = (store.get(keys.leader, urgent = true) as? StoreResult.Ok)?.value ?: return Claim.Lost
        return if (entry.data["nonce"] == nonce && entry.lease == lease) Claim.Won(entry.revision) else Claim.Lost
    }

    private fun lead(tenure: LeaderTenure) {
        leaderRole.moveTo(Role.LEADING, memberName)
        Log.info("leading ${shard?.name ?: ""}".trim() + " with term ${tenure.term}")
        val leaderScope = scope + SupervisorJob(scope.coroutineContext[Job])
        val fresh =
            Leader(loop, leaderScope, services, replicator, tenure, cancellationWatermark, part?.newLeadership()) { reason -> depose(leaderScope, reason) }
        leader = fresh
        fresh.start()
        announce()
    }

    /** Gives the leadership up and ends its lease, so that another member is elected without waiting for the lease to expire. */
    suspend fun transferLeadership(reason: String) {
        val resigning = leader ?: return
        resigning.resign(reason)
        // Only now: from here on another member may lead at any moment.
        resigning.endLease()
    }

    private fun depose(
        leaderScope: CoroutineScope,
        reason: String,
    ) {
        if (leader == null) return
        Log.info("not leading any more: $reason")
        leader?.let { replicator.listeners.remove(it.jobListener) }
        leader = null
        leaderRole.moveTo(Role.SEEKING, null)
        leaderScope.cancel()
    }

    /**
     * [peer] says that it leads with [term]. If that is higher than the term of the leader here, this one is deposed at once: the
     * workers that still send their heartbeats here must be told, also while the state service cannot be reached.
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
