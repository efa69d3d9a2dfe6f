package mintfield.app.sharing

import mintfield.core.ownership.Assignment
import mintfield.core.ownership.AssignmentTable
import mintfield.core.ownership.Handover
import mintfield.core.ownership.KnownAssignment
import mintfield.core.ownership.Refusal
import mintfield.core.ownership.Shares
import mintfield.core.ownership.SharingSettings
import mintfield.core.ownership.Step
import mintfield.io.ownership.AssignmentCodec
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
        val refusal: Refusal,
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

/** What operators see of the machines and their owners. */
class OwnershipStatus(
    val shares: List<ShareStatus>,
    val moves: Map<String, Assignment>,
)

/** Operators' orders, carried out on the state service itself: no controller need be up for them. */
class MachineOrders(
    private val settings: SharingSettings,
    private val store: StoreClient,
) {
    /** Null if the state service does not answer. */
    suspend fun status(): OwnershipStatus? {
        val table = read() ?: return null
        val leaders = leaders() ?: return null
        return OwnershipStatus(settings.shares.map { ShareStatus(it.name, leaders[it.name], table.machines(it.name)) }, table.moving.toMap())
    }

    /** Orders the move of [machine] to the share [target]. */
    suspend fun move(
        machine: String,
        target: String,
    ): OrderOutcome = change(machine) { current, shares -> Handover.order(current, target, shares) }

    /** Takes the order to move [machine] back. */
    suspend fun cancel(machine: String): OrderOutcome = change(machine) { current, _ -> Handover.cancel(current) }

    private suspend fun change(
        machine: String,
        step: (Assignment?, Shares) -> Step,
    ): OrderOutcome {
        repeat(TRIES) {
            val table = read() ?: return OrderOutcome.Unavailable
            val leaders = leaders() ?: return OrderOutcome.Unavailable
            if (table.of(machine) == KnownAssignment.Unknown) return OrderOutcome.Refused(Refusal.UNREADABLE)
            val next =
                when (val found = step(table.assignment(machine), SharesNow(table, leaders))) {
                    is Step.Refused -> return OrderOutcome.Refused(found.refusal)
                    is Step.To -> found.next
                }
            val content = table.blockWith(machine, next) ?: return OrderOutcome.Refused(Refusal.UNREADABLE)
            val key = Keys.assignments(AssignmentTable.blockOf(machine))
            val result = store.txn(listOf(Guard(key, table.markOf(machine))), listOf(KeyWrite.Put(key, AssignmentCodec.write(content))))
            val outcome = (result as? StoreResult.Ok)?.value ?: return OrderOutcome.Unavailable
            if (outcome is TxnOutcome.Applied) return OrderOutcome.Done
        }
        return OrderOutcome.Unavailable
    }

    private suspend fun read(): AssignmentTable? = AssignmentReplica(store).let { if (it.current()) it.table else null }

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
