package mintfield.io.json

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import java.io.ByteArrayOutputStream
import java.math.BigInteger

/** JSON by way of Jackson's streaming layer: no reflection, few classes. */
object Json {
    val factory: JsonFactory = JsonFactory()

    inline fun write(block: (JsonGenerator) -> Unit): ByteArray {
        val out = ByteArrayOutputStream(256)
        factory.createGenerator(out).use { block(it) }
        return out.toByteArray()
    }

    inline fun obj(block: JsonGenerator.() -> Unit): ByteArray =
        write {
            it.writeStartObject()
            it.block()
            it.writeEndObject()
        }

    /** The tree that begins at the parser's current token; any format that Jackson streams. */
    fun tree(p: JsonParser): Any? = value(p, 0)

    /** A plain tree of maps, lists, strings, numbers, booleans and nulls; null when [bytes] are not JSON. */
    fun parse(bytes: ByteArray): Any? =
        try {
            factory.createParser(bytes).use { p ->
                p.nextToken() ?: return NotJson
                val tree = value(p, 0)
                if (p.nextToken() == null) tree else NotJson
            }
        } catch (_: JsonProcessingException) {
            NotJson
        } catch (_: TooDeep) {
            NotJson
        }

    @Suppress("UNCHECKED_CAST")
    fun parseObject(bytes: ByteArray): Map<String, Any?>? = parse(bytes) as? Map<String, Any?>

    /** Stands for bytes that are not one JSON value. */
    object NotJson

    private class TooDeep : Exception()

    private const val MAX_DEPTH = 32

    private fun value(
        p: JsonParser,
        depth: Int,
    ): Any? {
        if (depth > MAX_DEPTH) throw TooDeep()
        return when (p.currentToken()) {
            JsonToken.START_OBJECT -> {
                val map = HashMap<String, Any?>()
                while (p.nextToken() == JsonToken.FIELD_NAME) {
                    val name = p.currentName()
                    p.nextToken()
                    map[name] = value(p, depth + 1)
                }
                map
            }

            JsonToken.START_ARRAY -> {
                val list = ArrayList<Any?>()
                while (p.nextToken() != JsonToken.END_ARRAY) list.add(value(p, depth + 1))
                list
            }

            JsonToken.VALUE_STRING -> {
                p.text
            }

            JsonToken.VALUE_TRUE -> {
                true
            }

            JsonToken.VALUE_FALSE -> {
                false
            }

            JsonToken.VALUE_NUMBER_INT -> {
                if (p.numberType == JsonParser.NumberType.BIG_INTEGER) p.bigIntegerValue else p.longValue
            }

            JsonToken.VALUE_NUMBER_FLOAT -> {
                p.doubleValue
            }

            else -> {
                null
            }
        }
    }

    fun asLong(v: Any?): Long? =
        when (v) {
            is Long -> v
            is Double -> if (v == Math.rint(v) && Math.abs(v) < 1e15) v.toLong() else null
            else -> null
        }

    fun asDouble(v: Any?): Double? =
        when (v) {
            is Long -> v.toDouble()
            is Double -> v.takeIf { it.isFinite() }
            is BigInteger -> v.toDouble().takeIf { it.isFinite() }
            else -> null
        }
}

@Suppress("UNCHECKED_CAST")
fun Any?.asMap(): Map<String, Any?>? = this as? Map<String, Any?>

@Suppress("UNCHECKED_CAST")
fun Any?.asList(): List<Any?>? = this as? List<Any?>

fun Map<String, Any?>.string(name: String): String? = this[name] as? String

fun Map<String, Any?>.long(name: String): Long? = Json.asLong(this[name])

fun Map<String, Any?>.double(name: String): Double? = Json.asDouble(this[name])

fun Map<String, Any?>.bool(name: String): Boolean? = this[name] as? Boolean
