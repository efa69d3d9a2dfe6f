@file:Suppress("MagicNumber") // the numbers of the protocol's fields, each beside its field

package mintfield.io.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber
import mintfield.core.ownership.MachineKind
import mintfield.core.ownership.ShardLoad

/** A shard that a controller leads, with its load: the part of a [PeerStatus] by which shards are rebalanced. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class ShardLeaderStatus(
    /** The name of the shard. */
    @ProtoNumber(1) val shard: String,
    /** The term of its leader. */
    @ProtoNumber(2) val term: Long,
    /** CPUs that its jobs wait for and its machines do not have. */
    @ProtoNumber(3) val shortCpus: Double = 0.0,
    /** CPUs of its machines. */
    @ProtoNumber(4) val ownedCpus: Double = 0.0,
    /** CPUs of its running and waiting tasks together, within the ceilings of their teams. */
    @ProtoNumber(5) val wantedCpus: Double = 0.0,
    /** CPUs of the smallest task that waits for room. */
    @ProtoNumber(6) val smallestCpus: Double = 0.0,
    /** Kinds of machines that it is short of. */
    @ProtoNumber(7) val shortOf: List<Kind> = emptyList(),
    /** Whether the load is given; a leader that still replays does not know it. */
    @ProtoNumber(8) val loadReported: Boolean = false,
) {
    /** A kind of machines, as [MachineKind]. */
    @Serializable
    class Kind(
        @ProtoNumber(1) val type: String,
        @ProtoNumber(2) val zone: String,
        @ProtoNumber(3) val spot: Boolean = false,
    )

    /** The load of the shard; null if it is not given. */
    fun load(): ShardLoad? {
        if (!loadReported) return null
        return ShardLoad(ownedCpus, wantedCpus, shortCpus, smallestCpus, shortOf.mapTo(LinkedHashSet()) { MachineKind(it.type, it.zone, it.spot) })
    }

    /** Makes the status of a shard. */
    companion object {
        /** The status of [shard], which is led with [term]; [load] is null while it is not known. */
        fun of(
            shard: String,
            term: Long,
            load: ShardLoad?,
        ): ShardLeaderStatus {
            if (load == null) return ShardLeaderStatus(shard, term)
            val kinds = load.shortOf.map { Kind(it.type, it.zone, it.spot) }
            return ShardLeaderStatus(shard, term, load.shortCpus, load.ownedCpus, load.wantedCpus, load.smallestCpus, kinds, loadReported = true)
        }
    }
}
