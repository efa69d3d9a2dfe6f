@file:Suppress("MagicNumber") // field numbers of protobuf are clearest beside their fields

package mintfield.io.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber
import mintfield.core.ownership.MachineKind
import mintfield.core.ownership.ShardLoad

/** A shard that a controller leads, with its load. It is part of a [PeerStatus] and the basis for moves of machines between shards. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class ShardLeaderStatus(
    /** The name of the shard. */
    @ProtoNumber(1) val shard: String,
    /** The term of its leader. */
    @ProtoNumber(2) val term: Long,
    /** CPUs of the waiting tasks that fit on none of its machines. */
    @ProtoNumber(3) val shortCpus: Double = 0.0,
    /** CPUs of its machines. */
    @ProtoNumber(4) val ownedCpus: Double = 0.0,
    /** CPUs of its running and waiting tasks together, within the quota ceilings of their teams. */
    @ProtoNumber(5) val wantedCpus: Double = 0.0,
    /** CPUs of the smallest task counted in [shortCpus]; 0 if there is none. */
    @ProtoNumber(6) val smallestCpus: Double = 0.0,
    /** The kinds of machines that could run at least one task counted in [shortCpus]. */
    @ProtoNumber(7) val shortOf: List<Kind> = emptyList(),
    /** Whether the fields of the load are set; a leader that is still replaying does not know its load. */
    @ProtoNumber(8) val loadReported: Boolean = false,
) {
    /** A kind of machines, the wire form of [MachineKind]. */
    @Serializable
    class Kind(
        @ProtoNumber(1) val type: String,
        @ProtoNumber(2) val zone: String,
        @ProtoNumber(3) val spot: Boolean = false,
    )

    /** The load of the shard; null if it was not reported. */
    fun load(): ShardLoad? {
        if (!loadReported) return null
        return ShardLoad(ownedCpus, wantedCpus, shortCpus, smallestCpus, shortOf.mapTo(LinkedHashSet()) { MachineKind(it.type, it.zone, it.spot) })
    }

    /** Creates statuses from the load of a shard. */
    companion object {
        /** The status of [shard] under the leader of [term]. [load] is null while it is unknown. */
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
