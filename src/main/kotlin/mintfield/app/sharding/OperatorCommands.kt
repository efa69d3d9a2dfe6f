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
 * Operators' commands on assignments and drained controllers. They are carried out on the store itself, so no controller need be up.
 * A command whose record changes meanwhile is tried again a few times.
 */
class OperatorCommands(
    private val settings: ShardingSettings,
    /** The names of all controllers. */
    private val controllers: List<String>,
    private val store: StoreClient,
    private val tracer: MoveTracer = MoveTracer.Off,
) {
    /** What one try of a command leads to. */
    private sealed interface Plan {
        /** [value] is to be written to [key], provided that the key is still at [revision]. */
        class Write(
            val key: String,
            val revision: Long,
            val value: ByteArray,
        ) : Plan

        /** Nothing is to be written; the command ends with [outcome]. */
        class End(
            val outcome: CommandOutcome,
        ) : Plan
    }

    /** Who owns what now; null if the store does not answer. */
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
    ): CommandOutcome = changeAssignment(machine) { current, shards -> order(machine, current, target, shards) }

    private fun order(
        machine: String,
        current: Assignment?,
        target: String,
        shards: Shards,
    ): AssignmentTransition {
        val untraced = Handover.order(current, target, shards)
        // Only an order that is not refused begins a trace.
        if (current == null || untraced is AssignmentTransition.Refused) return untraced
        return Handover.order(current, target, shards, tracer.ordered(machine, current.owner, target))
    }

    /** Cancels the move of [machine]. */
    suspend fun cancel(machine: String): CommandOutcome = changeAssignment(machine) { current, _ -> Handover.cancel(current) }

    /** Has [controller] transfer its shards to others, and campaign for none while others do. */
    suspend fun drain(controller: String): CommandOutcome = changeDrained { it.drain(controller, controllers) }

    /** Lets [controller] lead shards again. */
    suspend fun resume(controller: String): CommandOutcome = changeDrained { it.resume(controller) }

    /** Ends sharding: one controller may lead all machines again. Only while no shard is led and no job is unfinished. */
    suspend fun endSharding(): CommandOutcome {
        val read = store.get(LeaderKeys().leader) as? StoreResult.Ok ?: return CommandOutcome.Unavailable
        val marker = read.value?.takeIf(ShardingActivation::isMarker) ?: return CommandOutcome.Refused(CommandRefusal.NotSharded)
        return reasonNotToEndSharding() ?: deleteMarker(marker)
    }

    /** The outcome of the command if sharding cannot end; null if it can. */
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

    /** Carries out what [plan] says, and asks it again while its record changes meanwhile. */
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

    /** The outcome of the command; null if the record has changed meanwhile. */
    private suspend fun tryWrite(write: Plan.Write): CommandOutcome? {
        val result = store.txn(listOf(Precondition(write.key, write.revision)), listOf(KeyWrite.Put(write.key, write.value)))
        return when {
            result !is StoreResult.Ok -> CommandOutcome.Unavailable
            result.value is TxnOutcome.Applied -> CommandOutcome.Done
            else -> null
        }
    }

    private suspend fun readAssignments(): AssignmentReplica? = AssignmentReplica(store).takeIf { it.current() }

    /** The controllers that lead, by shard; null if the store does not answer. */
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
        /** Tries of a command whose record changes meanwhile. */
        const val MAX_TRIES = 5

        /** The field of a leader record that names the controller. */
        const val LEADER_FIELD = "member"
    }
}
