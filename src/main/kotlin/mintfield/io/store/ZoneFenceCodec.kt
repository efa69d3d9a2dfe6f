package mintfield.io.store

import mintfield.core.fleet.ZoneFence
import mintfield.io.json.Json
import mintfield.io.json.asList
import mintfield.io.json.long

/** Codec of the stored record of a zone fence: the machines whose heartbeats get no response while the fence is in force. */
object ZoneFenceCodec {
    /** The time since which the machines have had no response, in milliseconds since the Unix epoch. */
    private const val SINCE_MS = "since"
    private const val MACHINES = "machines"

    /** Encodes [fence] as JSON. The key of the fence is the key of its record and not part of the value. */
    fun encode(fence: ZoneFence): ByteArray =
        Json.obj {
            writeNumberField(SINCE_MS, fence.sinceWallMs)
            writeArrayFieldStart(MACHINES)
            fence.machines.forEach { writeString(it) }
            writeEndArray()
        }

    /** Decodes the zone fence whose record has the key [key] and the value [data]. */
    fun decode(
        key: String,
        data: Map<String, Any?>,
    ): Decoded<ZoneFence> =
        decoding {
            val machines = data[MACHINES].asList().orInvalid(MACHINES, "a list")
            ZoneFence(
                key = key,
                machines = machines.map { (it as? String).orInvalid(MACHINES, "names of machines") },
                sinceWallMs = data.long(SINCE_MS).orInvalid(SINCE_MS, "a time in milliseconds"),
            )
        }
}
