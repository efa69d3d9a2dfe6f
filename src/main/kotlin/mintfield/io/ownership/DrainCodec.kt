package mintfield.io.ownership

import mintfield.io.json.Json

/** Codec of the stored record of drained controllers, such as `{"members":["a"]}`. */
object DrainCodec {
    private const val MEMBERS = "members"

    /** Encodes [controllers], sorted by name. */
    fun write(controllers: Set<String>): ByteArray =
        Json.obj {
            writeArrayFieldStart(MEMBERS)
            controllers.sorted().forEach(::writeString)
            writeEndArray()
        }

    /** Decodes the drained controllers; null if [data] is not a valid record. */
    fun parse(data: Map<String, Any?>): Set<String>? {
        val controllers = data[MEMBERS] as? List<*> ?: return null
        return controllers.mapTo(LinkedHashSet()) { it as? String ?: return null }
    }
}
