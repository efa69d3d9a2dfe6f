package mintfield.io.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber
import mintfield.core.ownership.MachineKind
import mintfield.core.ownership.ShardLoad
import mintfield.core.upgrade.Generation

/** What controllers tell each other each second. No decision that the rules depend on rests on it, but for its answer. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class PeerStatus(
    @ProtoNumber(1) val member: String,
    @ProtoNumber(2) val storeServes: Boolean,
    @ProtoNumber(3) val leading: Boolean,
    @ProtoNumber(4) val progress: List<JobProgress> = emptyList(),
    @ProtoNumber(5) val term: Long = 0,
    @ProtoNumber(6) val congested: Boolean = false,
    /** The process of the receiver whose log of cancellations was read last, and up to which entry. */
    @ProtoNumber(7) val readIncarnation: Long = 0,
    @ProtoNumber(8) val readNext: Long = 0,
    /** Jobs that the leader has, if a note has no room for the progress of all of them; else 0. */
    @ProtoNumber(9) val jobs: Int = 0,
    /** The shares that the sender leads, if machines are shared. */
    @ProtoNumber(10) val shards: List<ShardLeaderStatus> = emptyList(),
    /** What the sender's program can do; programs of the first generation do not say. */
    @ProtoNumber(11) val generation: Int = Generation.FIRST,
)

/** A share that a controller leads, its term and its load. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class ShardLeaderStatus(
    @ProtoNumber(1) val shard: String,
    @ProtoNumber(2) val term: Long,
    /** CPUs that its jobs wait for and its machines do not have. */
    @ProtoNumber(3) val shortCpus: Double = 0.0,
    @ProtoNumber(4) val ownedCpus: Double = 0.0,
    @ProtoNumber(5) val wantedCpus: Double = 0.0,
    @ProtoNumber(6) val smallestCpus: Double = 0.0,
    /** Kinds of machines that it is short of. */
    @ProtoNumber(7) val shortOf: List<Kind> = emptyList(),
    /** Whether the load is told: a leader that still replays does not know it. */
    @ProtoNumber(8) val loadReported: Boolean = false,
) {
    @Serializable
    class Kind(
        @ProtoNumber(1) val type: String,
        @ProtoNumber(2) val zone: String,
        @ProtoNumber(3) val spot: Boolean = false,
    )

    fun load(): ShardLoad? {
        if (!loadReported) return null
        return ShardLoad(ownedCpus, wantedCpus, shortCpus, smallestCpus, shortOf.mapTo(LinkedHashSet()) { MachineKind(it.type, it.zone, it.spot) })
    }

    companion object {
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

/** The answer to a note: what its sender lacks of the log of cancellations that users were told of here. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class PeerStatusResponse(
    @ProtoNumber(1) val incarnation: Long,
    @ProtoNumber(2) val from: Long,
    @ProtoNumber(3) val cancelled: List<String> = emptyList(),
    @ProtoNumber(4) val total: Long,
)

/** A worker's heartbeat that came to a node which does not lead, and what the leader answers to it. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class RelayedReport(
    @ProtoNumber(1) val from: String,
    @ProtoNumber(2) val body: ByteArray,
)

/** A user's request that came to a node which the store does not serve. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class RelayedRequest(
    @ProtoNumber(1) val method: String,
    @ProtoNumber(2) val path: String,
    @ProtoNumber(3) val body: ByteArray,
)

@OptIn(ExperimentalSerializationApi::class)
@Serializable
class RelayAnswer(
    @ProtoNumber(1) val status: Int,
    @ProtoNumber(2) val body: ByteArray,
    @ProtoNumber(3) val retryAfterS: Int = 0,
)

@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class JobProgress(
    @ProtoNumber(1) val id: String,
    @ProtoNumber(2) val done: Int,
    @ProtoNumber(3) val running: Int,
)
