package mintfield.app.election

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.plus
import mintfield.app.ExternalServices
import mintfield.app.leader.Leader
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
import kotlin.coroutines.coroutineContext
import kotlin.random.Random

/** This process's part in the leadership: it seeks a leader, follows it, and stands when there is none. */
class LeaderElection(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val services: ExternalServices,
    private val replicator: JobReplicator,
    private val cancellationWatermark: CancellationWatermark,
    /** The share that is to be led, if machines are shared. */
    private val part: ShardElection? = null,
    private val announce: () -> Unit,
) {
    val shard: ShardSettings? = part?.shard
    private val keys = LeaderKeys(shard?.name)
    private val store = services.store
    private val leaseMs = services.settings.operator.leaderLeaseMs
    private val memberName = services.settings.member
    private val random = Random(System.nanoTime() xor memberName.hashCode().toLong())

    /** Tells this process from an earlier one of the same member. */
    private val nonce = java.lang.Long.toHexString(random.nextLong())
    val leaderRole = LeaderRole { Log.info(if (shard == null) it else "${shard.name}: $it") }
    var leader: Leader? = null
        private set

    /** Who claimed to lead while the store could not be asked. */
    private var claimedLeader: String? = null

    /** Whom workers should go to, as far as is known. */
    val known: String? get() = if (leaderRole.role == Role.SEEKING) claimedLeader else leaderRole.leader

    suspend fun run() {
        while (true) {
            try {
                step()
            } catch (e: IllegalStateException) {
                coroutineContext[Job]?.let { if (!it.isActive) throw e }
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
        when (val r = store.get(keys.leader, urgent = true)) {
            is StoreResult.Ok -> {
                val entry = r.value
                when {
                    entry == null -> leaderRole.moveTo(Role.CANDIDATE, null)
                    entry.data["member"] == memberName && leader == null -> endStaleLease(entry)
                    else -> follow(entry)
                }
            }

            else -> delay(StoreConstants.STORE_RETRY_MS * 2)
        }
    }

    /** A key of our own that we do not hold is from an earlier process, which is gone: its lease may end now. */
    private suspend fun endStaleLease(entry: Entry) {
        Log.info("ending the lease of an earlier process of $memberName, term ${entry.revision}")
        entry.lease?.let { store.endLease(it) }
        leaderRole.moveTo(Role.SEEKING, null)
    }

    private suspend fun follow(entry: Entry) {
        leaderRole.moveTo(Role.FOLLOWING, entry.data["member"] as? String)
        var after = entry.revision
        while (true) {
            when (val r = store.watch(keys.leader, after, LeadershipConstants.LEADER_WATCH_MS, urgent = true)) {
                is StoreResult.Ok -> {
                    if (r.value.tooOld) return
                    val last = r.value.newest()
                    after = maxOf(after, r.value.revision)
                    if (last != null && last.data == null) return leaderRole.moveTo(Role.CANDIDATE, null)
                    if (last != null) leaderRole.moveTo(Role.FOLLOWING, last.data?.get("member") as? String)
                }

                else -> return delay(StoreConstants.STORE_RETRY_MS * 2)
            }
        }
    }

    private suspend fun campaign() {
        delay(random.nextLong(LeadershipConstants.ELECTION_JITTER_MS))
        if (part != null) {
            // The controller that should lead a share goes first, if it is up.
            delay(part.campaignDelayMs())
            if (!part.activation.ready()) {
                delay(ShardingConstants.ACTIVATION_RETRY_MS)
                return leaderRole.moveTo(Role.SEEKING, null)
            }
        }
        val sentAt = loop.nowMs()
        val lease = (store.grantLease(leaseMs) as? StoreResult.Ok)?.value
        if (lease == null) {
            delay(StoreConstants.STORE_RETRY_MS)
            return leaderRole.moveTo(Role.SEEKING, null)
        }
        val put = KeyWrite.Put(keys.leader, Leader.leaderValue(memberName, nonce), lease)
        val r = store.txn(listOfNotNull(Precondition(keys.leader, 0), part?.activation?.precondition), listOf(put), urgent = true)
        if (r is StoreResult.Ok && part != null) part.activation.checkGuard(r.value)
        val term =
            when {
                r is StoreResult.Ok && r.value is TxnOutcome.Applied -> r.value.revision
                r is StoreResult.Unknown -> termOf(lease)
                else -> null
            }
        if (term == null) {
            store.endLease(lease)
            return leaderRole.moveTo(Role.SEEKING, null)
        }
        lead(term, lease, LeaseClock(leaseMs, sentAt))
    }

    /**
     * After a try without an answer: the revision of our key, if it hangs on [lease]. A key of ours on another lease was put by an
     * earlier try that was carried out late: nobody renews that one, so leading by it would go on after its end, beside the next
     * leader.
     */
    private suspend fun termOf(lease: Long): Long? {
        val entry = (store.get(keys.leader, urgent = true) as? StoreResult.Ok)?.value
        return entry?.takeIf { it.data["nonce"] == nonce && it.lease == lease }?.revision
    }

    private fun lead(
        term: Long,
        lease: Long,
        clock: LeaseClock,
    ) {
        leaderRole.moveTo(Role.LEADING, memberName)
        Log.info("leading ${shard?.name ?: ""}".trim() + " with term $term")
        val terms = scope + SupervisorJob(scope.coroutineContext[Job])
        val fresh =
            Leader(
                loop,
                terms,
                services,
                replicator,
                nonce,
                lease,
                clock,
                term,
                cancellationWatermark,
                part?.newLeadership(),
            ) { reason -> depose(terms, reason) }
        leader = fresh
        fresh.start()
        announce()
    }

    /** Gives the lead to whoever stands first, without waiting for the lease to end. */
    suspend fun transferLeadership(reason: String) {
        val mine = leader ?: return
        mine.resign(reason)
        // Only now: from here on the next one may lead at any moment.
        mine.endLease()
    }

    private fun depose(
        terms: CoroutineScope,
        reason: String,
    ) {
        if (leader == null) return
        Log.info("not leading any more: $reason")
        leader?.let(replicator.listeners::remove)
        leader = null
        leaderRole.moveTo(Role.SEEKING, null)
        terms.cancel()
    }

    /**
     * A peer says that it leads. With a higher term than ours it is right, and the workers that still come here must
     * hear of it at once, not when the store can be reached again: until then their leases hang on us.
     */
    fun peerLeads(
        peer: String,
        term: Long,
    ) {
        val mine = leader
        if (mine != null && term > mine.scheduler.cluster.term) {
            mine.resign("$peer leads with term $term")
            claimedLeader = peer
            return
        }
        if (mine == null && leaderRole.role == Role.SEEKING) claimedLeader = peer
    }
}
