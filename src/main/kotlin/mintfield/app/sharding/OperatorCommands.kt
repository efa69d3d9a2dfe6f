package mintfield.app.sharding

import mintfield.core.ownership.Assignment
import mintfield.core.ownership.AssignmentRefusal
import mintfield.core.ownership.AssignmentTable
import mintfield.core.ownership.AssignmentTransition
import mintfield.core.ownership.ConfiguredShards
import mintfield.core.ownership.DrainRecord
import mintfield.core.ownership.DrainTransition
import mintfield.core.ownership.Handover
import mintfield.core.ownership.KnownAssignment
import mintfield.core.ownership.MoveTracer
import mintfield.core.ownership.ShardingSettings
import mintfield.core.ownership.Shards
import mintfield.io.ownership.AssignmentCodec
import mintfield.io.ownership.DrainCodec
import mintfield.io.store.Entry
import mintfield.io.store.KeyWrite
import mintfield.io.store.Keys
import mintfield.io.store.LeaderKeys
import mintfield.io.store.Precondition
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult
import mintfield.io.store.TxnOutcome

/**
 * Operators' commands that read or change assignments and drained controllers. They access the store directly, so no controller needs to
 * run. If the record that a command changes is modified concurrently, the command is tried again, up to [MAX_TRIES] times in all.
 */
class OperatorCommands(
    private val settings: ShardingSettings,
    /** The names of all configured controllers. */
    private val controllers: List<String>,
    private val store: StoreClient,
    private val tracer: MoveTracer = MoveTracer.Off,
) {
    /** The result of evaluating a command against the records as read for one try. */
    private sealed interface Plan {
        /** Write [value] to [key], on the precondition that the key is still at [revision]. */
        class Write(
            val key: String,
            val revision: Long,
            val value: ByteArray,
        ) : Plan

        /** End the command with [outcome], without a write. */
        class End(
            val outcome: CommandOutcome,
        ) : Plan
    }

    /** Returns the owners of machines, the moves in progress and the drained controllers; null if the store does not respond. */
    suspend fun status(): OwnershipStatus? {
        val replica = readAssignments() ?: return null
        val leaders = readLeaders() ?: return null
        val table = replica.table
        val shards = settings.shards.map { ShardSummary(it.name, leaders[it.name], table.machines(it.name)) }
        return OwnershipStatus(shards, table.moving.toMap(), replica.drained)
    }

    /** Orders the move of [machine] to the shard [target]. */
    suspend fun move(
        machine: String,
        target: String,
    ): CommandOutcome = changeAssignment(machine) { current, shards -> orderMove(machine, current, target, shards) }

    private fun orderMove(
        machine: String,
        current: Assignment?,
        target: String,
        shards: Shards,
    ): AssignmentTransition {
        val untraced = Handover.order(current, target, shards)
        // A trace starts only if the move is permitted.
        if (current == null || untraced is AssignmentTransition.Refused) return untraced
        return Handover.order(current, target, shards, tracer.ordered(machine, current.owner, target))
    }

    /** Cancels the move of [machine]. */
    suspend fun cancel(machine: String): CommandOutcome = changeAssignment(machine) { current, _ -> Handover.cancel(current) }

    /** Drains [controller]: it transfers its shards to other controllers and campaigns only if no other controller does. */
    suspend fun drain(controller: String): CommandOutcome = changeDrained { it.drain(controller, controllers) }

    /** Ends the drain of [controller], so that it campaigns for shards as before. */
    suspend fun resume(controller: String): CommandOutcome = changeDrained { it.resume(controller) }

    /** Ends sharding, so that one controller can lead all machines. Refused while a shard is led or a job is unfinished. */
    suspend fun endSharding(): CommandOutcome {
        val read = store.get(LeaderKeys().leader) as? StoreResult.Ok ?: return CommandOutcome.Unavailable
        val marker = read.value?.takeIf(ShardingActivation::isMarker) ?: return CommandOutcome.Refused(CommandRefusal.NotSharded)
        return reasonNotToEndSharding() ?: deleteMarker(marker)
    }

    /** The outcome of [endSharding] if sharding cannot end now; null if it can. */
    private suspend fun reasonNotToEndSharding(): CommandOutcome? {
        val leaders = readLeaders() ?: return CommandOutcome.Unavailable
        val leader = leaders.values.firstOrNull()
        if (leader != null) return CommandOutcome.Refused(CommandRefusal.ShardLed(leader))
        val jobs = (store.list(Keys.LIVE, null, 1) as? StoreResult.Ok)?.value ?: return CommandOutcome.Unavailable
        return jobs.entries.firstOrNull()?.let { CommandOutcome.Refused(CommandRefusal.JobUnfinished(it.key.removePrefix(Keys.LIVE))) }
    }

    private suspend fun deleteMarker(marker: Entry): CommandOutcome {
        val key = LeaderKeys().leader
        val nobodyLeads = settings.shards.map { Precondition(LeaderKeys(it.name).leader, 0) }
        val result = store.txn(nobodyLeads + Precondition(key, marker.revision), listOf(KeyWrite.Delete(key)))
        return if ((result as? StoreResult.Ok)?.value is TxnOutcome.Applied) CommandOutcome.Done else CommandOutcome.Unavailable
    }

    private suspend fun changeDrained(transition: (DrainRecord) -> DrainTransition): CommandOutcome =
        write {
            val record = readAssignments()?.drainRecord ?: return@write Plan.End(CommandOutcome.Unavailable)
            when (val next = transition(record)) {
                is DrainTransition.Refused -> refused(CommandRefusal.Drain(next.refusal))
                is DrainTransition.Allowed -> Plan.Write(Keys.DRAINED, record.revision, DrainCodec.write(next.members))
            }
        }

    private suspend fun changeAssignment(
        machine: String,
        transition: (Assignment?, Shards) -> AssignmentTransition,
    ): CommandOutcome =
        write {
            val table = readAssignments()?.table ?: return@write Plan.End(CommandOutcome.Unavailable)
            val leaders = readLeaders() ?: return@write Plan.End(CommandOutcome.Unavailable)
            if (table.of(machine) == KnownAssignment.Unknown) return@write refused(CommandRefusal.Assignment(AssignmentRefusal.UNREADABLE))
            when (val next = transition(table.assignment(machine), ConfiguredShards(settings, table, leaders::containsKey))) {
                is AssignmentTransition.Refused -> refused(CommandRefusal.Assignment(next.refusal))
                is AssignmentTransition.Allowed -> blockWrite(table, machine, next.next)
            }
        }

    private fun blockWrite(
        table: AssignmentTable,
        machine: String,
        next: Assignment?,
    ): Plan {
        val content = table.blockWith(machine, next) ?: return refused(CommandRefusal.Assignment(AssignmentRefusal.UNREADABLE))
        return Plan.Write(Keys.assignments(AssignmentTable.blockOf(machine)), table.revisionOf(machine), AssignmentCodec.write(content))
    }

    private fun refused(refusal: CommandRefusal) = Plan.End(CommandOutcome.Refused(refusal))

    /** Calls [plan] and carries out its result; repeats both, up to [MAX_TRIES] times, if the record to write has changed since it was read. */
    private suspend fun write(plan: suspend () -> Plan): CommandOutcome {
        repeat(MAX_TRIES) {
            val outcome =
                when (val planned = plan()) {
                    is Plan.End -> planned.outcome
                    is Plan.Write -> tryWrite(planned)
                }
            if (outcome != null) return outcome
        }
        return CommandOutcome.Unavailable
    }

    /** The outcome of the command; null if the record has changed since it was read. */
    private suspend fun tryWrite(write: Plan.Write): CommandOutcome? {
        val result = store.txn(listOf(Precondition(write.key, write.revision)), listOf(KeyWrite.Put(write.key, write.value)))
        return when {
            result !is StoreResult.Ok -> CommandOutcome.Unavailable
            result.value is TxnOutcome.Applied -> CommandOutcome.Done
            else -> null
        }
    }

    private suspend fun readAssignments(): AssignmentReplica? = AssignmentReplica(store).takeIf { it.refresh() }

    /** The controllers that lead, by shard; null if the store does not respond. */
    private suspend fun readLeaders(): Map<String, String>? {
        val leaders = HashMap<String, String>()
        for (shard in settings.shards) {
            val read = store.get(LeaderKeys(shard.name).leader) as? StoreResult.Ok ?: return null
            val leader = read.value?.data?.get(LEADER_FIELD) as? String
            if (leader != null) leaders[shard.name] = leader
        }
        return leaders
    }

    private companion object {
        /** The number of times that a command is tried if the record it changes is modified concurrently. */
        const val MAX_TRIES = 5

        /** The field of a leader record that names the controller. */
        const val LEADER_FIELD = "member"
    }
}
