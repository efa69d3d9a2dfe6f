package mintfield.app.sharding

import kotlinx.coroutines.delay
import mintfield.app.leader.Leader
import mintfield.core.Scheduler
import mintfield.core.constants.ShardingConstants
import mintfield.core.constants.StoreConstants
import mintfield.core.ownership.AssignmentTransaction
import mintfield.core.ownership.ForeignTaskAnswer
import mintfield.core.ownership.ForeignTaskQuery
import mintfield.core.ownership.ForeignTaskResponder
import mintfield.core.ownership.HandoverAgent
import mintfield.core.ownership.LeaderCondition
import mintfield.core.ownership.LoadMeter
import mintfield.core.ownership.Rebalancer
import mintfield.core.ownership.RemoteTaskTracker
import mintfield.core.ownership.ShardLoad
import mintfield.core.ownership.ShardOwnership
import mintfield.core.ownership.ShardSettings
import mintfield.core.ownership.WeightedClaims
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import mintfield.io.ownership.AssignmentCodec
import mintfield.io.store.KeyWrite
import mintfield.io.store.Keys
import mintfield.io.store.LeaderKeys
import mintfield.io.store.Precondition
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult
import mintfield.io.store.TxnOutcome

/** Asks the leader of a share that owns machines about tasks there; null without an answer. */
fun interface ForeignTaskClient {
    suspend fun ask(
        shard: String,
        queries: List<ForeignTaskQuery>,
    ): List<ForeignTaskAnswer>?
}

/** What a leader does besides scheduling when it leads one share of several: takes part in moves of machines. */
class ShardLeader(
    private val node: ShardingContext,
    val shard: ShardSettings,
    private val loop: EventLoop,
    private val store: StoreClient,
    private val exchange: ForeignTaskClient,
) {
    val ownership = ShardOwnership(shard.name, node.table, shard.floor, shard.ceiling) { node.foreignSpec(shard, it) }
    private lateinit var agent: HandoverAgent
    private lateinit var remoteTasks: RemoteTaskTracker
    private lateinit var responder: ForeignTaskResponder
    private lateinit var scheduler: Scheduler
    private lateinit var meter: LoadMeter

    /** Joins this to the [scheduler] of the leader. */
    fun attach(scheduler: Scheduler) {
        this.scheduler = scheduler
        val rebalancer = Rebalancer(shard.name, scheduler.cluster, node.table, node, node)
        meter = LoadMeter(scheduler.cluster)
        val names = node.settings.shards.map { it.name }
        agent =
            HandoverAgent(ownership, node.table, scheduler, node, WeightedClaims(shard.name, node.settings.shards, node::isLive), {
                rebalancer.transfers(it, names)
            }, node.tracer) { Log.info(it) }
        remoteTasks = RemoteTaskTracker(scheduler)
        responder = ForeignTaskResponder(scheduler)
    }

    /** How much work there is for its machines; null while that is not known yet. */
    fun load(): ShardLoad? = if (scheduler.loaded) meter.measure() else null

    fun answer(queries: List<ForeignTaskQuery>): List<ForeignTaskAnswer> = queries.map { responder.answer(it, loop.nowMs()) }

    /** Reads the assignments as they are now or later: a new leader acts by nothing older than its election. */
    suspend fun readAssignments() {
        while (!node.assignments.current()) delay(StoreConstants.STORE_RETRY_MS)
    }

    /** Changes assignments as long as [leader] leads. */
    suspend fun changeAssignments(leader: Leader) {
        while (true) {
            val transaction = if (leader.mayAct()) agent.next(loop.nowMs()) else null
            if (transaction == null) delay(ShardingConstants.ASSIGNMENT_INTERVAL_MS) else carryOut(leader, transaction)
        }
    }

    private suspend fun carryOut(
        leader: Leader,
        transaction: AssignmentTransaction,
    ) {
        val writes = transaction.blocks.map { (number, block) -> KeyWrite.Put(Keys.assignments(number), AssignmentCodec.write(block.content)) }
        leader.wrote(writes.size)
        when (val result = store.txn(preconditions(transaction), writes, urgent = true)) {
            is StoreResult.Unknown -> {
                agent.unanswered(transaction)
                leader.wake()
            }
            is StoreResult.Refused -> {
                agent.refused(transaction)
                delay(StoreConstants.STORE_RETRY_MS)
            }
            is StoreResult.Ok -> settled(leader, transaction, result.value)
        }
    }

    private fun preconditions(transaction: AssignmentTransaction): List<Precondition> {
        val leaders = LinkedHashMap<String, Long>()
        leaders[LeaderKeys(shard.name).leader] = transaction.term
        for (condition in transaction.conditions) if (condition is LeaderCondition.Leaderless) leaders[LeaderKeys(condition.shard).leader] = 0
        return leaders.map { Precondition(it.key, it.value) } +
            transaction.blocks.map { (number, block) -> Precondition(Keys.assignments(number), block.guardRevision) }
    }

    private suspend fun settled(
        leader: Leader,
        transaction: AssignmentTransaction,
        outcome: TxnOutcome,
    ) {
        if (outcome is TxnOutcome.Applied) {
            agent.applied(transaction, outcome.revision, loop.nowMs())
            return leader.wake()
        }
        agent.refused(transaction)
        if (outcome is TxnOutcome.Failed && LeaderKeys(shard.name).leader in outcome.keys) leader.checkLeaderKey()
        node.assignments.current()
    }

    /** Asks what becomes of this leader's tasks on other shares' machines, as long as [leader] leads. */
    suspend fun followRemoteTasks(leader: Leader) {
        while (true) {
            delay(ShardingConstants.ASSIGNMENT_INTERVAL_MS)
            if (!leader.mayAct()) continue
            val byOwner = remoteTasks.dueQueries(loop.nowMs()).groupBy { node.shardFor(it.machine) }
            for ((owner, queries) in byOwner) if (owner != null) queries.chunked(QUERIES_AT_ONCE).forEach { ask(owner, it) }
            if (byOwner.isNotEmpty()) leader.wake()
        }
    }

    private suspend fun ask(
        owner: String,
        queries: List<ForeignTaskQuery>,
    ) {
        val answers = exchange.ask(owner, queries) ?: return
        if (answers.size == queries.size) queries.zip(answers).forEach { (query, answer) -> remoteTasks.answered(query, answer, loop.nowMs()) }
    }

    private companion object {
        /** Machines asked about in one message, which keeps it within the bound on request bodies. */
        const val QUERIES_AT_ONCE = 50
    }
}
