@file:Suppress("MagicNumber") // the numbers of the protocol's fields, each beside its field

package mintfield.io.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

/** The response to a [PeerStatus]: the part of the responder's log of confirmed cancellations that the sender has not read. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class PeerStatusResponse(
    /** The incarnation of the log; a new process has a new one. */
    @ProtoNumber(1) val incarnation: Long,
    /** The position of the first entry of [cancelled]. */
    @ProtoNumber(2) val from: Long,
    /** The ids of cancelled jobs, in the order of the log. */
    @ProtoNumber(3) val cancelled: List<String> = emptyList(),
    /** The number of entries that the log has. */
    @ProtoNumber(4) val total: Long,
)
