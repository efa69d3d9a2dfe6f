package mintfield.app.cli

import mintfield.app.sharding.CommandOutcome
import mintfield.app.sharding.MoveTracerFactory
import mintfield.app.sharding.OperatorCommands
import mintfield.core.model.Settings
import mintfield.core.ownership.AssignmentRefusal
import mintfield.core.ownership.ShardingSettings

/** The command `machines`: shows owners and moves of machines, orders and cancels moves, drains and resumes controllers, ends sharding. */
class MachinesCommand(
    private val settings: Settings,
    private val sharding: ShardingSettings,
    /** Whether [MachinesRequest.ShowAll] prints JSON instead of lines. */
    private val json: Boolean = false,
    private val print: (String) -> Unit,
) {
    private val controllers = (settings.peers.map { it.member } + settings.member).sorted()

    /** Carries out [request] on the store; blocks until the outcome is known or the store has failed to respond. */
    fun run(request: MachinesRequest): ExitCode =
        withCommands { commands ->
            when (request) {
                MachinesRequest.ShowAll -> showAll(commands)
                is MachinesRequest.ShowShard -> show(commands, request.shard)
                is MachinesRequest.Move -> printOutcome(commands.move(request.machine, request.target))
                is MachinesRequest.Cancel -> printOutcome(commands.cancel(request.machine))
                is MachinesRequest.Drain -> printOutcome(commands.drain(request.controller))
                is MachinesRequest.Resume -> printOutcome(commands.resume(request.controller))
                MachinesRequest.EndSharding -> printOutcome(commands.endSharding())
            }
        }

    private fun withCommands(action: suspend (OperatorCommands) -> ExitCode): ExitCode {
        val tracer = MoveTracerFactory.create(settings, TRACE_PROCESS_NAME)
        return try {
            CommandLoop.run(settings) { services -> action(OperatorCommands(sharding, controllers, services.store, tracer)) }
        } finally {
            (tracer as? AutoCloseable)?.close()
        }
    }

    private suspend fun showAll(commands: OperatorCommands): ExitCode {
        val status = commands.status() ?: return unavailable()
        if (json) print(OwnershipPrinter.json(status)) else OwnershipPrinter.lines(status).forEach(print)
        return ExitCode.DONE
    }

    private suspend fun show(
        commands: OperatorCommands,
        shard: String,
    ): ExitCode {
        val status = commands.status() ?: return unavailable()
        val summary = status.shards.firstOrNull { it.name == shard } ?: return refused(AssignmentRefusal.UNKNOWN_SHARD.reason)
        MachineRanges(summary.machines).describe().forEach(print)
        return ExitCode.DONE
    }

    private fun printOutcome(outcome: CommandOutcome): ExitCode =
        when (outcome) {
            CommandOutcome.Done -> done()
            is CommandOutcome.Refused -> refused(outcome.refusal.reason)
            CommandOutcome.Unavailable -> unavailable()
        }

    private fun done(): ExitCode {
        print("done")
        return ExitCode.DONE
    }

    private fun refused(reason: String): ExitCode {
        print("refused: $reason")
        return ExitCode.REFUSED
    }

    private fun unavailable(): ExitCode {
        print("the state service does not answer; look with show before you order again")
        return ExitCode.UNAVAILABLE
    }

    private companion object {
        /** The name of this process in traces, where a controller uses its own name. */
        const val TRACE_PROCESS_NAME = "machines"
    }
}
