@file:Suppress("MagicNumber") // the numbers of the protocol's fields, each beside its field

package mintfield.io.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

/** A worker's heartbeat that came to a controller which does not lead, relayed to the leader. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class RelayedHeartbeat(
    /** The name of the controller that relays it. */
    @ProtoNumber(1) val from: String,
    /** The body of the worker's request. */
    @ProtoNumber(2) val body: ByteArray,
)

/** A user's request that came to a controller which the store does not serve, relayed to one that it does serve. */
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

/** The response to a relayed heartbeat or request, which goes back to the worker or user as it is. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class RelayAnswer(
    /** The HTTP status. */
    @ProtoNumber(1) val status: Int,
    /** The body. */
    @ProtoNumber(2) val body: ByteArray,
    /** Seconds after which the request should be repeated; 0 if that is not said. */
    @ProtoNumber(3) val retryAfterS: Int = 0,
)
