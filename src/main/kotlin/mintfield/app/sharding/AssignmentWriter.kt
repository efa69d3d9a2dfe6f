package mintfield.app.sharding

import kotlinx.coroutines.delay
import mintfield.app.leader.Leader
import mintfield.core.constants.ShardingConstants
import mintfield.core.constants.StoreConstants
import mintfield.core.ownership.AssignmentTransaction
import mintfield.core.ownership.HandoverAgent
import mintfield.core.ownership.LeaderCondition
import mintfield.core.ownership.ShardSettings
import mintfield.io.loop.EventLoop
import mintfield.io.ownership.AssignmentCodec
import mintfield.io.store.KeyWrite
import mintfield.io.store.Keys
import mintfield.io.store.LeaderKeys
import mintfield.io.store.Precondition
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult
import mintfield.io.store.TxnOutcome

/** Writes the assignment changes planned by [agent] to the store, one transaction at a time, and passes each outcome back to it. */
internal class AssignmentWriter(
    shard: ShardSettings,
    private val loop: EventLoop,
    private val store: StoreClient,
    private val agent: HandoverAgent,
    private val assignments: AssignmentReplica,
) {
    private val leaderKey = LeaderKeys(shard.name).leader

    /** Writes transactions whenever [leader] may act, until cancelled. */
    suspend fun run(leader: Leader) {
        while (true) {
            val transaction = if (leader.mayAct()) agent.next(loop.nowMs()) else null
            if (transaction == null) delay(ShardingConstants.ASSIGNMENT_INTERVAL_MS) else write(leader, transaction)
        }
    }

    private suspend fun write(
        leader: Leader,
        transaction: AssignmentTransaction,
    ) {
        val writes = transaction.blocks.map { (number, block) -> KeyWrite.Put(Keys.assignments(number), AssignmentCodec.write(block.content)) }
        leader.recordWrites(writes.size)
        when (val result = store.txn(preconditions(transaction), writes, urgent = true)) {
            is StoreResult.Unknown -> {
                agent.unanswered(transaction)
                leader.wake()
            }
            is StoreResult.Refused -> {
                agent.refused(transaction)
                delay(StoreConstants.STORE_RETRY_MS)
            }
            is StoreResult.Ok -> handleOutcome(leader, transaction, result.value)
        }
    }

    /** The preconditions of [transaction]: this leader still leads in its term, shards that must have no leader have none, no block has changed. */
    private fun preconditions(transaction: AssignmentTransaction): List<Precondition> {
        val revisionByLeaderKey = LinkedHashMap<String, Long>()
        revisionByLeaderKey[leaderKey] = transaction.term
        for (condition in transaction.conditions) {
            if (condition is LeaderCondition.Leaderless) revisionByLeaderKey[LeaderKeys(condition.shard).leader] = 0
        }
        return revisionByLeaderKey.map { Precondition(it.key, it.value) } +
            transaction.blocks.map { (number, block) -> Precondition(Keys.assignments(number), block.guardRevision) }
    }

    private suspend fun handleOutcome(
        leader: Leader,
        transaction: AssignmentTransaction,
        outcome: TxnOutcome,
    ) {
        if (outcome is TxnOutcome.Applied) {
            agent.applied(transaction, outcome.revision, loop.nowMs())
            return leader.wake()
        }
        agent.refused(transaction)
        if (outcome is TxnOutcome.Failed && leaderKey in outcome.keys) leader.checkLeaderKey()
        assignments.refresh()
    }
}
