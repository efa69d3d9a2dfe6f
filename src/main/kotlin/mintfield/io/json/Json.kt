package mintfield.io.json

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import java.io.ByteArrayOutputStream
import java.math.BigInteger

/** The bytes are not exactly one JSON value, or one that is nested too deeply. The message says what is wrong with them. */
class NotJsonException(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)

/**
 * Reading and writing of JSON by Jackson's streaming layer, which needs no reflection and few classes. A value is read as a tree of maps,
 * lists, strings, numbers, booleans and nulls; an integer is a [Long], or a [BigInteger] if it is too large for one.
 */
object Json {
    /** Makes the parsers and generators. */
    val factory: JsonFactory = JsonFactory()

    /** Initial size of the buffer for written JSON, in bytes. */
    @PublishedApi
    internal const val INITIAL_BYTES = 256

    /** Values nested more deeply than this are refused, as reading them takes stack in proportion. */
    private const val MAX_DEPTH = 32

    /** Up to here, each whole number is a [Double] of its own. */
    private const val MAX_WHOLE_DOUBLE = 1e15

    /** The bytes, in UTF-8, of the value that [block] writes. */
    inline fun write(block: (JsonGenerator) -> Unit): ByteArray {
        val out = ByteArrayOutputStream(INITIAL_BYTES)
        factory.createGenerator(out).use { block(it) }
        return out.toByteArray()
    }

    /** The bytes, in UTF-8, of an object with the fields that [block] writes. */
    inline fun obj(block: JsonGenerator.() -> Unit): ByteArray =
        write {
            it.writeStartObject()
            it.block()
            it.writeEndObject()
        }

    /** The tree that begins at the current token of [parser], of any format that Jackson streams. */
    fun tree(parser: JsonParser): Any? = value(parser, depth = 0)

    /** The tree of the only value in [bytes]. Throws [NotJsonException] if they hold anything else. */
    fun parse(bytes: ByteArray): Any? =
        try {
            factory.createParser(bytes).use { parser ->
                if (parser.nextToken() == null) throw NotJsonException("no value")
                val tree = tree(parser)
                if (parser.nextToken() != null) throw NotJsonException("more than one value")
                tree
            }
        } catch (e: JsonProcessingException) {
            throw NotJsonException(e.originalMessage ?: "not JSON", e)
        }

    /** The object in [bytes]; null if they hold anything else. */
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

    /** A number of a tree as an integer; null if it is none or its value is not a whole number. */
    fun asLong(value: Any?): Long? =
        when (value) {
            is Long -> value
            is Double -> if (value == Math.rint(value) && Math.abs(value) < MAX_WHOLE_DOUBLE) value.toLong() else null
            else -> null
        }

    /** A number of a tree as a finite floating-point number; null if it is none. */
    fun asDouble(value: Any?): Double? =
        when (value) {
            is Long -> value.toDouble()
            is Double -> value.takeIf { it.isFinite() }
            is BigInteger -> value.toDouble().takeIf { it.isFinite() }
            else -> null
        }
}
