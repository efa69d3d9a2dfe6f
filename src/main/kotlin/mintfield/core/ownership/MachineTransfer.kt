package mintfield.core.ownership

/** A machine that is to move to the shard [target]. */
data class MachineTransfer(
    val machine: String,
    val target: String,
)

/** Decides which machines of a shard move to other shards. */
fun interface TransferPolicy {
    /** The moves to order at [nowMs]. */
    fun transfers(nowMs: Long): List<MachineTransfer>
}
