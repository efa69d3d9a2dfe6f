package mintfield.app.cli

/** What the command `machines` is asked to do. */
sealed interface MachinesRequest {
    /** Show all shards, the moves under way and the drained controllers. */
    data object ShowAll : MachinesRequest

    /** Show the machines of [shard]. */
    data class ShowShard(
        val shard: String,
    ) : MachinesRequest

    /** Order the move of [machine] to the shard [target]. */
    data class Move(
        val machine: String,
        val target: String,
    ) : MachinesRequest

    /** Cancel the move of [machine]. */
    data class Cancel(
        val machine: String,
    ) : MachinesRequest

    /** Drain [controller]. */
    data class Drain(
        val controller: String,
    ) : MachinesRequest

    /** Let the drained [controller] lead again. */
    data class Resume(
        val controller: String,
    ) : MachinesRequest

    /** End the sharding of machines. */
    data object EndSharding : MachinesRequest

    /** How a request is written on the command line. */
    companion object {
        private const val SHOW = "show"
        private const val MOVE = "move"
        private const val CANCEL = "cancel"
        private const val DRAIN = "drain"
        private const val RESUME = "resume"
        private const val UNSHARE = "unshare"

        /** What is printed when words cannot be used. */
        const val USAGE = "machines expects show [SHARE], move MACHINE SHARE, cancel MACHINE, drain CONTROLLER, resume CONTROLLER or unshare"

        /** The request that the [words] after the command make; null if they cannot be used. */
        fun parse(words: List<String>): MachinesRequest? {
            val arguments = words.drop(1)
            return when (words.firstOrNull()) {
                SHOW -> if (arguments.isEmpty()) ShowAll else arguments.singleOrNull()?.let(::ShowShard)
                MOVE -> if (arguments.size == 2) Move(machine = arguments[0], target = arguments[1]) else null
                CANCEL -> arguments.singleOrNull()?.let(::Cancel)
                DRAIN -> arguments.singleOrNull()?.let(::Drain)
                RESUME -> arguments.singleOrNull()?.let(::Resume)
                UNSHARE -> EndSharding.takeIf { arguments.isEmpty() }
                else -> null
            }
        }
    }
}
