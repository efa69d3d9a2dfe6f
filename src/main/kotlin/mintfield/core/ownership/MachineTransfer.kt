package mintfield.core.ownership

/** A machine that is to move to the shard [target]. */
data class MachineTransfer(
    val machine: String,
    val target: String,
)

/** Says which of a shard's machines are to move to other shards. */
fun interface TransferPolicy {
    /** The moves to be ordered at [nowMs]. */
    fun transfers(nowMs: Long): List<MachineTransfer>
}
