@file:Suppress("MagicNumber") // field numbers of protobuf are clearest beside their fields

package mintfield.io.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

/** The response to a [PeerStatus]: the part of the responder's log of confirmed cancellations that the sender of the status has not read. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class PeerStatusResponse(
    /** The incarnation of the log, which changes with each start of the process. */
    @ProtoNumber(1) val incarnation: Long,
    /** The position of the first entry of [cancelled]. */
    @ProtoNumber(2) val from: Long,
    /** The ids of cancelled jobs, in the order of the log. */
    @ProtoNumber(3) val cancelled: List<String> = emptyList(),
    /** The number of entries in the log. */
    @ProtoNumber(4) val total: Long,
)
