package mintfield.app.sharing

import mintfield.core.ownership.Assignment
import mintfield.core.ownership.AssignmentTable
import mintfield.core.ownership.DrainRecord
import mintfield.core.ownership.DrainStep
import mintfield.core.ownership.Handover
import mintfield.core.ownership.KnownAssignment
import mintfield.core.ownership.MoveTracer
import mintfield.core.ownership.Refusal
import mintfield.core.ownership.Shares
import mintfield.core.ownership.SharingSettings
import mintfield.core.ownership.Step
import mintfield.io.ownership.AssignmentCodec
import mintfield.io.ownership.DrainCodec
import mintfield.io.store.Guard
import mintfield.io.store.KeyWrite
import mintfield.io.store.Keys
import mintfield.io.store.LeaderKeys
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult
import mintfield.io.store.TxnOutcome

/** What became of an operator's order. */
sealed interface OrderOutcome {
    data object Done : OrderOutcome

    data class Refused(
        val reason: String,
    ) : OrderOutcome

    /** The state service did not answer, or kept changing meanwhile; whether the order was carried out is not known. */
    data object Unavailable : OrderOutcome
}

/** A share as operators see it: who leads it, and how many machines it has. */
data class ShareStatus(
    val name: String,
    val leader: String?,
    val machines: List<String>,
)

/** What operators see of the machines, their owners and the controllers that are drained. */
class OwnershipStatus(
    val shares: List<ShareStatus>,
    val moves: Map<String, Assignment>,
    val drained: Set<String>,
) {
    /** The shares that [controller] leads. */
    fun ledBy(controller: String): List<String> = shares.filter { it.leader == controller }.map { it.name }
}

/** Operators' orders, carried out on the state service itself: no controller need be up for them. */
class MachineOrders(
    private val settings: SharingSettings,
    /** The names of all controllers. */
    private val controllers: List<String>,
    private val store: StoreClient,
    private val tracer: MoveTracer = MoveTracer.Off,
) {
    /** Null if the state service does not answer. */
    suspend fun status(): OwnershipStatus? {
        val replica = read() ?: return null
        val table = replica.table
        val leaders = leaders() ?: return null
        val shares = settings.shares.map { ShareStatus(it.name, leaders[it.name], table.machines(it.name)) }
        return OwnershipStatus(shares, table.moving.toMap(), replica.drained)
    }

    /** Orders the move of [machine] to the share [target]. */
    suspend fun move(
        machine: String,
        target: String,
    ): OrderOutcome =
        change(machine) { current, shares ->
            // Only an order that is not refused begins a trace.
            val step = Handover.order(current, target, shares)
            if (step is Step.To) Handover.order(current, target, shares, tracer.ordered(machine, current!!.owner, target)) else step
        }

    /** Takes the order to move [machine] back. */
    suspend fun cancel(machine: String): OrderOutcome = change(machine) { current, _ -> Handover.cancel(current) }

    /** Has [controller] give its shares to others, and stand for none while others do. */
    suspend fun drain(controller: String): OrderOutcome = changeDrained { it.drain(controller, controllers) }

    /** Lets [controller] lead shares again. */
    suspend fun resume(controller: String): OrderOutcome = changeDrained { it.resume(controller) }

    private suspend fun changeDrained(step: (DrainRecord) -> DrainStep): OrderOutcome {
        repeat(TRIES) {
            val record = (read() ?: return OrderOutcome.Unavailable).drainRecord
            val members =
                when (val found = step(record)) {
                    is DrainStep.Refused -> return OrderOutcome.Refused(found.refusal.reason)
                    is DrainStep.To -> found.members
                }
            val result = store.txn(listOf(Guard(Keys.DRAINED, record.mark)), listOf(KeyWrite.Put(Keys.DRAINED, DrainCodec.write(members))))
            val outcome = (result as? StoreResult.Ok)?.value ?: return OrderOutcome.Unavailable
            if (outcome is TxnOutcome.Applied) return OrderOutcome.Done
        }
        return OrderOutcome.Unavailable
    }

    /** Lets one controller lead all machines again. Only while no share is led and no job is unfinished. */
    suspend fun endSharing(): OrderOutcome {
        val key = LeaderKeys().leader
        val read = store.get(key) as? StoreResult.Ok ?: return OrderOutcome.Unavailable
        val mark = read.value?.takeIf(SharingActivation::isMark)?.mark ?: return OrderOutcome.Refused("machines are not shared")
        val leaders = leaders() ?: return OrderOutcome.Unavailable
        leaders.values.firstOrNull()?.let { return OrderOutcome.Refused("$it leads a share; stop all controllers first") }
        val jobs = (store.list(Keys.LIVE, null, 1) as? StoreResult.Ok)?.value ?: return OrderOutcome.Unavailable
        jobs.entries.firstOrNull()?.let { return OrderOutcome.Refused("job ${it.key.removePrefix(Keys.LIVE)} is unfinished") }
        val nobodyLeads = settings.shares.map { Guard(LeaderKeys(it.name).leader, 0) }
        val result = store.txn(nobodyLeads + Guard(key, mark), listOf(KeyWrite.Delete(key)))
        return if ((result as? StoreResult.Ok)?.value is TxnOutcome.Applied) OrderOutcome.Done else OrderOutcome.Unavailable
    }

    private suspend fun change(
        machine: String,
        step: (Assignment?, Shares) -> Step,
    ): OrderOutcome {
        repeat(TRIES) {
            val table = (read() ?: return OrderOutcome.Unavailable).table
            val leaders = leaders() ?: return OrderOutcome.Unavailable
            if (table.of(machine) == KnownAssignment.Unknown) return OrderOutcome.Refused(Refusal.UNREADABLE.reason)
            val next =
                when (val found = step(table.assignment(machine), SharesNow(table, leaders))) {
                    is Step.Refused -> return OrderOutcome.Refused(found.refusal.reason)
                    is Step.To -> found.next
                }
            val content = table.blockWith(machine, next) ?: return OrderOutcome.Refused(Refusal.UNREADABLE.reason)
            val key = Keys.assignments(AssignmentTable.blockOf(machine))
            val result = store.txn(listOf(Guard(key, table.markOf(machine))), listOf(KeyWrite.Put(key, AssignmentCodec.write(content))))
            val outcome = (result as? StoreResult.Ok)?.value ?: return OrderOutcome.Unavailable
            if (outcome is TxnOutcome.Applied) return OrderOutcome.Done
        }
        return OrderOutcome.Unavailable
    }

    private suspend fun read(): AssignmentReplica? = AssignmentReplica(store).takeIf { it.current() }

    /** The controllers that lead, by share. */
    private suspend fun leaders(): Map<String, String>? {
        val found = HashMap<String, String>()
        for (share in settings.shares) {
            val entry = (store.get(LeaderKeys(share.name).leader) as? StoreResult.Ok ?: return null).value
            (entry?.data?.get("member") as? String)?.let { found[share.name] = it }
        }
        return found
    }

    private inner class SharesNow(
        private val table: AssignmentTable,
        private val leaders: Map<String, String>,
    ) : Shares {
        override fun isKnown(share: String) = settings.share(share) != null

        override fun isLive(share: String) = share in leaders

        override fun spare(share: String) = table.count(share) - (settings.share(share)?.floor ?: 0)
    }

    private companion object {
        /** Tries of an order whose block changes meanwhile. */
        const val TRIES = 5
    }
}
