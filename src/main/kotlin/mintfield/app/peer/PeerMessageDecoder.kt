package mintfield.app.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.protobuf.ProtoBuf

/** Reads a message of a peer; null if [bytes] are no such message. */
@OptIn(ExperimentalSerializationApi::class)
internal fun <T> decodeOrNull(
    serializer: KSerializer<T>,
    bytes: ByteArray,
): T? =
    try {
        ProtoBuf.decodeFromByteArray(serializer, bytes)
    } catch (_: SerializationException) {
        null
    }
