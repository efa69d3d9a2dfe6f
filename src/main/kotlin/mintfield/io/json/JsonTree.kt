package mintfield.io.json

/** This value of a tree as an object; null if it is none. */
@Suppress("UNCHECKED_CAST") // the names of an object's fields are strings
fun Any?.asMap(): Map<String, Any?>? = this as? Map<String, Any?>

/** This value of a tree as a list; null if it is none. */
fun Any?.asList(): List<Any?>? = this as? List<*>

/** The string in the field [name]; null if there is none. */
fun Map<String, Any?>.string(name: String): String? = this[name] as? String

/** The whole number in the field [name]; null if there is none. */
fun Map<String, Any?>.long(name: String): Long? = Json.asLong(this[name])

/** The number in the field [name]; null if there is none. */
fun Map<String, Any?>.double(name: String): Double? = Json.asDouble(this[name])

/** The boolean in the field [name]; null if there is none. */
fun Map<String, Any?>.bool(name: String): Boolean? = this[name] as? Boolean
