package mintfield.io.ownership

import mintfield.io.json.Json

/** Maps the record of drained controllers to its stored form, such as `{"members":["a"]}`, and back. */
object DrainCodec {
    private const val MEMBERS = "members"

    /** The record with [members], in order of their names. */
    fun write(members: Set<String>): ByteArray =
        Json.obj {
            writeArrayFieldStart(MEMBERS)
            members.sorted().forEach(::writeString)
            writeEndArray()
        }

    /** The drained controllers; null if [data] is not such a record. */
    fun parse(data: Map<String, Any?>): Set<String>? {
        val members = data[MEMBERS] as? List<*> ?: return null
        return members.mapTo(LinkedHashSet()) { it as? String ?: return null }
    }
}
