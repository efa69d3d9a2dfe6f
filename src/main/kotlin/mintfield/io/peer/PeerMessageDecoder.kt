package mintfield.io.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.protobuf.ProtoBuf

/**
 * Reads a message of a peer; null if [bytes] are no such message. The library reports that by an [IllegalArgumentException], of which its
 * own exception for malformed bytes is a kind.
 */
@OptIn(ExperimentalSerializationApi::class)
fun <T> decodeOrNull(
    serializer: KSerializer<T>,
    bytes: ByteArray,
): T? =
    try {
        ProtoBuf.decodeFromByteArray(serializer, bytes)
    } catch (_: IllegalArgumentException) {
        null
    }
