package mintfield.io.ownership

import mintfield.io.json.Json

/** Codec of the stored record of drained controllers, such as `{"members":["a"]}`. */
object DrainCodec {
    private const val MEMBERS = "members"

    /** Encodes [members], sorted by name. */
    fun write(members: Set<String>): ByteArray =
        Json.obj {
            writeArrayFieldStart(MEMBERS)
            members.sorted().forEach(::writeString)
            writeEndArray()
        }

    /** Decodes the drained controllers; null if [data] is not a valid record. */
    fun parse(data: Map<String, Any?>): Set<String>? {
        val members = data[MEMBERS] as? List<*> ?: return null
        return members.mapTo(LinkedHashSet()) { it as? String ?: return null }
    }
}
