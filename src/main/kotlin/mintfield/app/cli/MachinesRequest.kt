package mintfield.app.cli

/** A request to the command `machines`, parsed from the words after it. */
sealed interface MachinesRequest {
    /** Show all shards, the moves in progress and the drained controllers. */
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

    /** Drain [controller], so that other controllers lead its shards. */
    data class Drain(
        val controller: String,
    ) : MachinesRequest

    /** End the drain of [controller], so that it can lead again. */
    data class Resume(
        val controller: String,
    ) : MachinesRequest

    /** End sharding, so that one controller can lead all machines. */
    data object EndSharding : MachinesRequest

    /** The syntax of requests on the command line. */
    companion object {
        private const val SHOW = "show"
        private const val MOVE = "move"
        private const val CANCEL = "cancel"
        private const val DRAIN = "drain"
        private const val RESUME = "resume"
        private const val UNSHARE = "unshare"

        /** The message for invalid words. */
        const val USAGE = "machines expects show [SHARE], move MACHINE SHARE, cancel MACHINE, drain CONTROLLER, resume CONTROLLER or unshare"

        /** Parses the [words] after the command; returns null if they are invalid. */
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
