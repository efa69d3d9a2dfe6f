package mintfield.io.store

import mintfield.core.fleet.ZoneFence
import mintfield.io.json.Json
import mintfield.io.json.asList
import mintfield.io.json.long

/** The record of a zone fence: the machines that no leader answers while it stands. */
object ZoneFenceCodec {
    /** Since when the machines have not been answered, time of day in milliseconds. */
    private const val SINCE_MS = "since"
    private const val MACHINES = "machines"

    /** The record of [fence], as JSON. Its key is the key of the record. */
    fun encode(fence: ZoneFence): ByteArray =
        Json.obj {
            writeNumberField(SINCE_MS, fence.sinceWallMs)
            writeArrayFieldStart(MACHINES)
            fence.machines.forEach { writeString(it) }
            writeEndArray()
        }

    /** The zone fence that [data], the record of [key], holds. */
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
