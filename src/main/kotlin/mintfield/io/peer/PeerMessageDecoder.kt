package mintfield.io.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.protobuf.ProtoBuf

/**
 * Decodes a message of a peer; null if [bytes] are malformed. The library throws an [IllegalArgumentException] for them, of which its own
 * exception for malformed bytes is a subclass.
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
