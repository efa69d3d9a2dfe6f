@file:Suppress("MagicNumber") // field numbers of protobuf are clearest beside their fields

package mintfield.io.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

/** A worker's heartbeat, relayed to the leader by another controller that received it. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class RelayedHeartbeat(
    /** The name of the relaying controller. */
    @ProtoNumber(1) val from: String,
    /** The body of the worker's request. */
    @ProtoNumber(2) val body: ByteArray,
)

/** A user's request, relayed by a controller that the store does not serve to one that it does serve. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class RelayedRequest(
    /** The HTTP method. */
    @ProtoNumber(1) val method: String,
    /** The path, with the query. */
    @ProtoNumber(2) val path: String,
    /** The body; empty if there is none. */
    @ProtoNumber(3) val body: ByteArray,
)

/** The response to a relayed heartbeat or request, which is passed on to the worker or user unchanged. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class RelayResponse(
    /** The HTTP status. */
    @ProtoNumber(1) val status: Int,
    /** The body. */
    @ProtoNumber(2) val body: ByteArray,
    /** Seconds after which the request should be repeated; 0 if not specified. */
    @ProtoNumber(3) val retryAfterS: Int = 0,
)
