@file:Suppress("MagicNumber") // field numbers of protobuf are clearest beside their fields

package mintfield.io.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber
import mintfield.core.upgrade.Generation

/**
 * The status that a controller sends to each of its peers once a second, in protobuf. A peer of another generation ignores unknown fields
 * and uses the defaults of missing ones. No safety rule depends on a status.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class PeerStatus(
    /** The name of the sender. */
    @ProtoNumber(1) val member: String,
    /** Whether the store serves the sender. */
    @ProtoNumber(2) val storeServes: Boolean,
    /** Whether the sender leads, or leads any shard. */
    @ProtoNumber(3) val leading: Boolean,
    /** The progress of some or all of the leader's jobs. */
    @ProtoNumber(4) val progress: List<JobProgress> = emptyList(),
    /** The leader's term; 0 if the sender does not lead. */
    @ProtoNumber(5) val term: Long = 0,
    /** Whether writes requested by users are queued at the sender until the store accepts them. */
    @ProtoNumber(6) val congested: Boolean = false,
    /** The incarnation of the receiver's log of cancellations that the sender last read. */
    @ProtoNumber(7) val readIncarnation: Long = 0,
    /** The position in the receiver's log of cancellations from which the sender will read next. */
    @ProtoNumber(8) val readNext: Long = 0,
    /** The number of the leader's jobs if [progress] does not hold all of them; otherwise 0. */
    @ProtoNumber(9) val jobs: Int = 0,
    /** The shards that the sender leads; empty if machines are not divided into shards. */
    @ProtoNumber(10) val shards: List<ShardLeaderStatus> = emptyList(),
    /** The generation that the sender runs; the first generation does not send this field. */
    @ProtoNumber(11) val generation: Int = Generation.FIRST,
)

/** The progress of a job, for display. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class JobProgress(
    /** The job's id. */
    @ProtoNumber(1) val id: String,
    /** Number of its tasks that are done. */
    @ProtoNumber(2) val done: Int,
    /** Number of its tasks that run. */
    @ProtoNumber(3) val running: Int,
)
