package mintfield.io.json

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import java.io.ByteArrayOutputStream
import java.math.BigInteger

/** Thrown if bytes are not exactly one JSON value, or if the value is nested too deeply. */
class NotJsonException(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)

/**
 * Reader and writer of JSON based on Jackson's streaming API, which needs no reflection and few classes. A value is read as a tree of maps,
 * lists, strings, numbers, booleans and nulls. An integer is a [Long], or a [BigInteger] if it does not fit a [Long].
 */
object Json {
    /** Factory of the JSON parsers and generators. */
    val factory: JsonFactory = JsonFactory()

    /** Initial size of the buffer for written JSON, in bytes. */
    @PublishedApi
    internal const val INITIAL_BYTES = 256

    /** Maximum nesting depth of a value. Reading is recursive, so its use of the stack grows with the depth. */
    private const val MAX_DEPTH = 32

    /** Bound below which every whole number has an exact representation as a [Double]. */
    private const val MAX_WHOLE_DOUBLE = 1e15

    /** Returns the value written by [block], in UTF-8. */
    inline fun write(block: (JsonGenerator) -> Unit): ByteArray {
        val out = ByteArrayOutputStream(INITIAL_BYTES)
        factory.createGenerator(out).use { block(it) }
        return out.toByteArray()
    }

    /** Returns an object with the fields written by [block], in UTF-8. */
    inline fun obj(block: JsonGenerator.() -> Unit): ByteArray =
        write {
            it.writeStartObject()
            it.block()
            it.writeEndObject()
        }

    /** Reads the tree that starts at the current token of [parser]. The parser may read any format that Jackson supports, such as TOML. */
    fun tree(parser: JsonParser): Any? = value(parser, depth = 0)

    /** Parses [bytes] as one JSON value. Throws [NotJsonException] if they contain anything else. */
    fun parse(bytes: ByteArray): Any? =
        try {
            factory.createParser(bytes).use { parser ->
                if (parser.nextToken() == null) throw NotJsonException("expected one JSON value, found none")
                val tree = tree(parser)
                if (parser.nextToken() != null) throw NotJsonException("expected one JSON value, found several")
                tree
            }
        } catch (e: JsonProcessingException) {
            throw NotJsonException(e.originalMessage ?: "not JSON", e)
        }

    /** Parses [bytes] as one JSON object; null if they contain anything else. */
    fun parseObject(bytes: ByteArray): Map<String, Any?>? =
        try {
            parse(bytes).asMap()
        } catch (_: NotJsonException) {
            null
        }

    private fun value(
        parser: JsonParser,
        depth: Int,
    ): Any? {
        if (depth > MAX_DEPTH) throw NotJsonException("nested more than $MAX_DEPTH levels deep")
        return when (parser.currentToken()) {
            JsonToken.START_OBJECT -> fields(parser, depth)
            JsonToken.START_ARRAY -> elements(parser, depth)
            JsonToken.VALUE_STRING -> parser.text
            JsonToken.VALUE_TRUE -> true
            JsonToken.VALUE_FALSE -> false
            JsonToken.VALUE_NUMBER_INT -> if (parser.numberType == JsonParser.NumberType.BIG_INTEGER) parser.bigIntegerValue else parser.longValue
            JsonToken.VALUE_NUMBER_FLOAT -> parser.doubleValue
            else -> null
        }
    }

    private fun fields(
        parser: JsonParser,
        depth: Int,
    ): Map<String, Any?> {
        val fields = HashMap<String, Any?>()
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            val name = parser.currentName()
            parser.nextToken()
            fields[name] = value(parser, depth + 1)
        }
        return fields
    }

    private fun elements(
        parser: JsonParser,
        depth: Int,
    ): List<Any?> {
        val elements = ArrayList<Any?>()
        while (parser.nextToken() != JsonToken.END_ARRAY) elements.add(value(parser, depth + 1))
        return elements
    }

    /** Returns a value of a tree as an integer; null if it is not a whole number within range. */
    fun asLong(value: Any?): Long? =
        when (value) {
            is Long -> value
            is Double -> if (value == Math.rint(value) && Math.abs(value) < MAX_WHOLE_DOUBLE) value.toLong() else null
            else -> null
        }

    /** Returns a value of a tree as a finite floating-point number; null if it is not a number or not finite. */
    fun asDouble(value: Any?): Double? =
        when (value) {
            is Long -> value.toDouble()
            is Double -> value.takeIf { it.isFinite() }
            is BigInteger -> value.toDouble().takeIf { it.isFinite() }
            else -> null
        }
}
