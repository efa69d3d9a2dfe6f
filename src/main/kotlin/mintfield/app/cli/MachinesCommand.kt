package mintfield.app.cli

import mintfield.app.sharding.MachineOrders
import mintfield.app.sharding.MoveTracing
import mintfield.app.sharding.OrderOutcome
import mintfield.core.model.Settings
import mintfield.core.ownership.AssignmentRefusal

/** The command `machines`: shows who owns machines and which of them move, orders moves and takes them back, drains controllers. */
class MachinesCommand(
    private val settings: Settings,
    /** Whether `show` prints JSON. */
    private val json: Boolean = false,
    private val print: (String) -> Unit,
) {
    private val controllers = (settings.peers.map { it.member } + settings.member).sorted()

    /** Runs the command with [words] after its name; returns the exit code, or null if the words cannot be used. */
    fun run(words: List<String>): Int? {
        if (settings.operator.sharding == null) return refused("machines are not shared: the operators' file has no block sharing")
        return when {
            words == listOf("show") -> onLoop { show(it) }
            words.size == 2 && words[0] == "show" -> onLoop { show(it, words[1]) }
            words.size == 3 && words[0] == "move" -> onLoop { printOutcome(it.move(words[1], words[2])) }
            words.size == 2 && words[0] == "cancel" -> onLoop { printOutcome(it.cancel(words[1])) }
            words == listOf("unshare") -> onLoop { printOutcome(it.endSharding()) }
            words.size == 2 && words[0] == "drain" -> onLoop { printOutcome(it.drain(words[1])) }
            words.size == 2 && words[0] == "resume" -> onLoop { printOutcome(it.resume(words[1])) }
            else -> null
        }
    }

    private fun onLoop(action: suspend (MachineOrders) -> Int): Int {
        val tracer = MoveTracing.of(settings, "machines")
        return try {
            CommandLoop.run(settings) { action(MachineOrders(settings.operator.sharding!!, controllers, it.store, tracer)) }
        } finally {
            (tracer as? AutoCloseable)?.close()
        }
    }

    private suspend fun show(orders: MachineOrders): Int {
        val status = orders.status() ?: return unavailable()
        if (json) print(OwnershipPrinter.json(status)) else OwnershipPrinter.lines(status).forEach(print)
        return DONE
    }

    private suspend fun show(
        orders: MachineOrders,
        shard: String,
    ): Int {
        val status = orders.status() ?: return unavailable()
        val shown = status.shards.firstOrNull { it.name == shard } ?: return refused("refused: ${AssignmentRefusal.UNKNOWN_SHARD.reason}")
        MachineRanges(shown.machines).describe().forEach(print)
        return DONE
    }

    private fun printOutcome(outcome: OrderOutcome): Int =
        when (outcome) {
            OrderOutcome.Done -> DONE.also { print("done") }
            is OrderOutcome.Refused -> refused("refused: ${outcome.reason}")
            OrderOutcome.Unavailable -> unavailable()
        }

    private fun refused(reason: String): Int = REFUSED.also { print(reason) }

    private fun unavailable(): Int = UNAVAILABLE.also { print("the state service does not answer; look with show before you order again") }

    companion object {
        const val DONE = 0
        const val REFUSED = 1
        const val UNAVAILABLE = 3
    }
}
