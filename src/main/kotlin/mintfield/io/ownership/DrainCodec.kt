package mintfield.io.ownership

import mintfield.io.json.Json

/** How the record of drained controllers is written: `{"members":["a"]}`. */
object DrainCodec {
    private const val MEMBERS = "members"

    fun write(members: Set<String>): ByteArray =
        Json.obj {
            writeArrayFieldStart(MEMBERS)
            members.sorted().forEach(::writeString)
            writeEndArray()
        }

    /** Null if it cannot be read. */
    fun parse(data: Map<String, Any?>): Set<String>? {
        val members = data[MEMBERS] as? List<*> ?: return null
        return members.mapTo(LinkedHashSet()) { it as? String ?: return null }
    }
}
