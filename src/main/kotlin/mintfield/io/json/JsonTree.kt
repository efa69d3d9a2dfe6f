package mintfield.io.json

/** Returns the value as an object; null if it is not one. */
@Suppress("UNCHECKED_CAST") // The field names of an object are always strings.
fun Any?.asMap(): Map<String, Any?>? = this as? Map<String, Any?>

/** Returns the value as a list; null if it is not one. */
fun Any?.asList(): List<Any?>? = this as? List<*>

/** Returns the string in the field [name]; null if the field is absent or not a string. */
fun Map<String, Any?>.string(name: String): String? = this[name] as? String

/** Returns the whole number in the field [name]; null if the field is absent or not a whole number. */
fun Map<String, Any?>.long(name: String): Long? = Json.asLong(this[name])

/** Returns the number in the field [name]; null if the field is absent or not a number. */
fun Map<String, Any?>.double(name: String): Double? = Json.asDouble(this[name])

/** Returns the Boolean in the field [name]; null if the field is absent or not a Boolean. */
fun Map<String, Any?>.bool(name: String): Boolean? = this[name] as? Boolean
