package mintfield.app.sharding

import mintfield.core.ownership.Assignment
import mintfield.core.ownership.AssignmentRefusal
import mintfield.core.ownership.AssignmentTable
import mintfield.core.ownership.AssignmentTransition
import mintfield.core.ownership.DrainRecord
import mintfield.core.ownership.DrainTransition
import mintfield.core.ownership.Handover
import mintfield.core.ownership.KnownAssignment
import mintfield.core.ownership.MoveTracer
import mintfield.core.ownership.ShardingSettings
import mintfield.core.ownership.Shards
import mintfield.io.ownership.AssignmentCodec
import mintfield.io.ownership.DrainCodec
import mintfield.io.store.KeyWrite
import mintfield.io.store.Keys
import mintfield.io.store.LeaderKeys
import mintfield.io.store.Precondition
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult
import mintfield.io.store.TxnOutcome

/** What became of an operator's order. */
sealed interface OrderOutcome {
    data object Done : OrderOutcome

    data class Refused(
        val reason: String,
    ) : OrderOutcome

    /** The store did not answer, or kept changing meanwhile; whether the order was carried out is not known. */
    data object Unavailable : OrderOutcome
}

/** A share as operators see it: who leads it, and how many machines it has. */
data class ShardSummary(
    val name: String,
    val leader: String?,
    val machines: List<String>,
)

/** What operators see of the machines, their owners and the controllers that are drained. */
class OwnershipStatus(
    val shards: List<ShardSummary>,
    val moves: Map<String, Assignment>,
    val drained: Set<String>,
) {
    /** The shares that [controller] leads. */
    fun ledBy(controller: String): List<String> = shards.filter { it.leader == controller }.map { it.name }
}

/** Operators' orders, carried out on the store itself: no controller need be up for them. */
class MachineOrders(
    private val settings: ShardingSettings,
    /** The names of all controllers. */
    private val controllers: List<String>,
    private val store: StoreClient,
    private val tracer: MoveTracer = MoveTracer.Off,
) {
    /** Null if the store does not answer. */
    suspend fun status(): OwnershipStatus? {
        val replica = read() ?: return null
        val table = replica.table
        val leaders = leaders() ?: return null
        val shards = settings.shards.map { ShardSummary(it.name, leaders[it.name], table.machines(it.name)) }
        return OwnershipStatus(shards, table.moving.toMap(), replica.drained)
    }

    /** Orders the move of [machine] to the share [target]. */
    suspend fun move(
        machine: String,
        target: String,
    ): OrderOutcome =
        change(machine) { current, shards ->
            // Only an order that is not refused begins a trace.
            val step = Handover.order(current, target, shards)
            if (step is AssignmentTransition.Allowed) Handover.order(current, target, shards, tracer.ordered(machine, current!!.owner, target)) else step
        }

    /** Takes the order to move [machine] back. */
    suspend fun cancel(machine: String): OrderOutcome = change(machine) { current, _ -> Handover.cancel(current) }

    /** Has [controller] give its shares to others, and stand for none while others do. */
    suspend fun drain(controller: String): OrderOutcome = changeDrained { it.drain(controller, controllers) }

    /** Lets [controller] lead shares again. */
    suspend fun resume(controller: String): OrderOutcome = changeDrained { it.resume(controller) }

    private suspend fun changeDrained(step: (DrainRecord) -> DrainTransition): OrderOutcome {
        repeat(TRIES) {
            val record = (read() ?: return OrderOutcome.Unavailable).drainRecord
            val members =
                when (val found = step(record)) {
                    is DrainTransition.Refused -> return OrderOutcome.Refused(found.refusal.reason)
                    is DrainTransition.Allowed -> found.members
                }
            val result = store.txn(listOf(Precondition(Keys.DRAINED, record.revision)), listOf(KeyWrite.Put(Keys.DRAINED, DrainCodec.write(members))))
            val outcome = (result as? StoreResult.Ok)?.value ?: return OrderOutcome.Unavailable
            if (outcome is TxnOutcome.Applied) return OrderOutcome.Done
        }
        return OrderOutcome.Unavailable
    }

    /** Lets one controller lead all machines again. Only while no share is led and no job is unfinished. */
    suspend fun endSharding(): OrderOutcome {
        val key = LeaderKeys().leader
        val read = store.get(key) as? StoreResult.Ok ?: return OrderOutcome.Unavailable
        val revision = read.value?.takeIf(ShardingActivation::isMarker)?.revision ?: return OrderOutcome.Refused("machines are not shared")
        val leaders = leaders() ?: return OrderOutcome.Unavailable
        leaders.values.firstOrNull()?.let { return OrderOutcome.Refused("$it leads a share; stop all controllers first") }
        val jobs = (store.list(Keys.LIVE, null, 1) as? StoreResult.Ok)?.value ?: return OrderOutcome.Unavailable
        jobs.entries.firstOrNull()?.let { return OrderOutcome.Refused("job ${it.key.removePrefix(Keys.LIVE)} is unfinished") }
        val nobodyLeads = settings.shards.map { Precondition(LeaderKeys(it.name).leader, 0) }
        val result = store.txn(nobodyLeads + Precondition(key, revision), listOf(KeyWrite.Delete(key)))
        return if ((result as? StoreResult.Ok)?.value is TxnOutcome.Applied) OrderOutcome.Done else OrderOutcome.Unavailable
    }

    private suspend fun change(
        machine: String,
        step: (Assignment?, Shards) -> AssignmentTransition,
    ): OrderOutcome {
        repeat(TRIES) {
            val table = (read() ?: return OrderOutcome.Unavailable).table
            val leaders = leaders() ?: return OrderOutcome.Unavailable
            if (table.of(machine) == KnownAssignment.Unknown) return OrderOutcome.Refused(AssignmentRefusal.UNREADABLE.reason)
            val next =
                when (val found = step(table.assignment(machine), CurrentShards(table, leaders))) {
                    is AssignmentTransition.Refused -> return OrderOutcome.Refused(found.refusal.reason)
                    is AssignmentTransition.Allowed -> found.next
                }
            val content = table.blockWith(machine, next) ?: return OrderOutcome.Refused(AssignmentRefusal.UNREADABLE.reason)
            val key = Keys.assignments(AssignmentTable.blockOf(machine))
            val result = store.txn(listOf(Precondition(key, table.revisionOf(machine))), listOf(KeyWrite.Put(key, AssignmentCodec.write(content))))
            val outcome = (result as? StoreResult.Ok)?.value ?: return OrderOutcome.Unavailable
            if (outcome is TxnOutcome.Applied) return OrderOutcome.Done
        }
        return OrderOutcome.Unavailable
    }

    private suspend fun read(): AssignmentReplica? = AssignmentReplica(store).takeIf { it.current() }

    /** The controllers that lead, by share. */
    private suspend fun leaders(): Map<String, String>? {
        val found = HashMap<String, String>()
        for (shard in settings.shards) {
            val entry = (store.get(LeaderKeys(shard.name).leader) as? StoreResult.Ok ?: return null).value
            (entry?.data?.get("member") as? String)?.let { found[shard.name] = it }
        }
        return found
    }

    private inner class CurrentShards(
        private val table: AssignmentTable,
        private val leaders: Map<String, String>,
    ) : Shards {
        override fun isKnown(shard: String) = settings.shard(shard) != null

        override fun isLive(shard: String) = shard in leaders

        override fun spare(shard: String) = table.count(shard) - (settings.shard(shard)?.floor ?: 0)
    }

    private companion object {
        /** Tries of an order whose block changes meanwhile. */
        const val TRIES = 5
    }
}
