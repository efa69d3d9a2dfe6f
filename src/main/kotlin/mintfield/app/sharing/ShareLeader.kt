package mintfield.app.sharing

import kotlinx.coroutines.delay
import mintfield.app.Leader
import mintfield.core.Scheduler
import mintfield.core.Tuning
import mintfield.core.ownership.AssignmentTransaction
import mintfield.core.ownership.AwayTasks
import mintfield.core.ownership.GuestAnswer
import mintfield.core.ownership.GuestDesk
import mintfield.core.ownership.GuestQuery
import mintfield.core.ownership.HandoverAgent
import mintfield.core.ownership.LeaderCondition
import mintfield.core.ownership.LoadMeter
import mintfield.core.ownership.Rebalancer
import mintfield.core.ownership.ShareLoad
import mintfield.core.ownership.ShareOwnership
import mintfield.core.ownership.ShareSettings
import mintfield.core.ownership.WeightedClaims
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import mintfield.io.ownership.AssignmentCodec
import mintfield.io.store.Guard
import mintfield.io.store.KeyWrite
import mintfield.io.store.Keys
import mintfield.io.store.LeaderKeys
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult
import mintfield.io.store.TxnOutcome

/** Asks the leader of a share that owns machines about tasks there; null without an answer. */
fun interface GuestExchange {
    suspend fun ask(
        share: String,
        queries: List<GuestQuery>,
    ): List<GuestAnswer>?
}

/** What a leader does besides scheduling when it leads one share of several: takes part in moves of machines. */
class ShareLeader(
    private val node: SharingNode,
    val share: ShareSettings,
    private val loop: EventLoop,
    private val store: StoreClient,
    private val exchange: GuestExchange,
) {
    val ownership = ShareOwnership(share.name, node.table, share.floor, share.ceiling) { node.foreignSpec(share, it) }
    private lateinit var agent: HandoverAgent
    private lateinit var away: AwayTasks
    private lateinit var desk: GuestDesk
    private lateinit var scheduler: Scheduler
    private lateinit var meter: LoadMeter

    /** Joins this to the [scheduler] of the leader. */
    fun attach(scheduler: Scheduler) {
        this.scheduler = scheduler
        val rebalancer = Rebalancer(share.name, scheduler.cluster, node.table, node, node)
        meter = LoadMeter(scheduler.cluster)
        val names = node.settings.shares.map { it.name }
        agent =
            HandoverAgent(ownership, node.table, scheduler, node, WeightedClaims(share.name, node.settings.shares, node::isLive), {
                rebalancer.gifts(it, names)
            }, node.tracer) { Log.info(it) }
        away = AwayTasks(scheduler)
        desk = GuestDesk(scheduler)
    }

    /** How much work there is for its machines; null while that is not known yet. */
    fun load(): ShareLoad? = if (scheduler.loaded) meter.measure() else null

    fun answer(queries: List<GuestQuery>): List<GuestAnswer> = queries.map { desk.answer(it, loop.nowMs()) }

    /** Reads the assignments as they are now or later: a new leader acts by nothing older than its election. */
    suspend fun readAssignments() {
        while (!node.assignments.current()) delay(Tuning.STORE_RETRY_MS)
    }

    /** Changes assignments as long as [leader] leads. */
    suspend fun changeAssignments(leader: Leader) {
        while (true) {
            val transaction = if (leader.mayAct()) agent.next(loop.nowMs()) else null
            if (transaction == null) delay(Tuning.ASSIGNMENT_STEP_MS) else carryOut(leader, transaction)
        }
    }

    private suspend fun carryOut(
        leader: Leader,
        transaction: AssignmentTransaction,
    ) {
        val writes = transaction.blocks.map { (number, block) -> KeyWrite.Put(Keys.assignments(number), AssignmentCodec.write(block.content)) }
        leader.wrote(writes.size)
        when (val result = store.txn(guards(transaction), writes, urgent = true)) {
            is StoreResult.Unknown -> {
                agent.unanswered(transaction)
                leader.kick()
            }
            is StoreResult.Refused -> {
                agent.refused(transaction)
                delay(Tuning.STORE_RETRY_MS)
            }
            is StoreResult.Ok -> settled(leader, transaction, result.value)
        }
    }

    private fun guards(transaction: AssignmentTransaction): List<Guard> {
        val leaders = LinkedHashMap<String, Long>()
        leaders[LeaderKeys(share.name).leader] = transaction.term
        for (condition in transaction.conditions) if (condition is LeaderCondition.Leaderless) leaders[LeaderKeys(condition.share).leader] = 0
        return leaders.map { Guard(it.key, it.value) } + transaction.blocks.map { (number, block) -> Guard(Keys.assignments(number), block.guardMark) }
    }

    private suspend fun settled(
        leader: Leader,
        transaction: AssignmentTransaction,
        outcome: TxnOutcome,
    ) {
        if (outcome is TxnOutcome.Applied) {
            agent.applied(transaction, outcome.revision, loop.nowMs())
            return leader.kick()
        }
        agent.refused(transaction)
        if (outcome is TxnOutcome.Failed && LeaderKeys(share.name).leader in outcome.keys) leader.checkLeaderKey()
        node.assignments.current()
    }

    /** Asks what becomes of this leader's tasks on other shares' machines, as long as [leader] leads. */
    suspend fun followAwayTasks(leader: Leader) {
        while (true) {
            delay(Tuning.ASSIGNMENT_STEP_MS)
            if (!leader.mayAct()) continue
            val byOwner = away.due(loop.nowMs()).groupBy { node.shareFor(it.machine) }
            for ((owner, queries) in byOwner) if (owner != null) queries.chunked(QUERIES_AT_ONCE).forEach { ask(owner, it) }
            if (byOwner.isNotEmpty()) leader.kick()
        }
    }

    private suspend fun ask(
        owner: String,
        queries: List<GuestQuery>,
    ) {
        val answers = exchange.ask(owner, queries) ?: return
        if (answers.size == queries.size) queries.zip(answers).forEach { (query, answer) -> away.answered(query, answer, loop.nowMs()) }
    }

    private companion object {
        /** Machines asked about in one message, which keeps it within the bound on request bodies. */
        const val QUERIES_AT_ONCE = 50
    }
}
