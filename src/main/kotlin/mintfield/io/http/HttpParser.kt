package mintfield.io.http

import java.nio.ByteBuffer

/**
 * Incremental parser of HTTP/1.1 messages (RFC 9112). It is fed with bytes as they arrive and returns a message as soon as one is
 * complete. The limits on head and body are checked while reading, so that a peer cannot make the parser buffer more.
 *
 * Not thread-safe: each connection has its own instance.
 */
class HttpParser(
    private val maxHeadBytes: Int,
    private val maxBodyBytes: Int,
    private val response: Boolean,
) {
    private enum class State { HEAD, FIXED_BODY, CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILER, COMPLETE }

    private var state = State.HEAD
    private val buffer = LineBuffer()

    private var first = ""
    private var second = ""
    private var third = ""
    private var headers: Map<String, String> = emptyMap()
    private var body = NO_BYTES
    private var receivedBodyBytes = 0
    private var missingBodyBytes = 0
    private var trailerBytes = 0

    /** Whether no byte of the next message has arrived. */
    val isIdle: Boolean get() = state == State.HEAD && buffer.isEmpty

    /** Consumes all remaining [bytes]. */
    fun feed(bytes: ByteBuffer) = buffer.append(bytes)

    /**
     * The next complete message, or null if more bytes are needed.
     *
     * @throws HttpFault if the bytes are not an HTTP/1.1 message or exceed a limit; the connection is then unusable
     */
    fun next(): HttpMessage? {
        while (true) {
            val progressed =
                when (state) {
                    State.HEAD -> parseHead()
                    State.FIXED_BODY -> parseFixedBody()
                    State.CHUNK_SIZE -> parseChunkLine()
                    State.CHUNK_DATA -> parseChunkData()
                    State.CHUNK_END -> parseChunkEnd()
                    State.TRAILER -> parseTrailer()
                    State.COMPLETE -> return takeMessage()
                }
            if (!progressed) return null
        }
    }

    private fun moveTo(next: State): Boolean {
        state = next
        buffer.rescan()
        return true
    }

    private fun takeMessage(): HttpMessage {
        val completeBody = if (receivedBodyBytes == body.size) body else body.copyOf(receivedBodyBytes)
        val message = HttpMessage(first, second, third, headers, completeBody)
        body = NO_BYTES
        receivedBodyBytes = 0
        moveTo(State.HEAD)
        buffer.shrinkIfEmpty()
        return message
    }

    private fun parseHead(): Boolean {
        buffer.skipLineBreaks() // Some clients send an empty line between messages.
        val headBytes = buffer.bytesToHeadEnd()
        if (headBytes < 0) {
            if (buffer.size > maxHeadBytes) throw HttpFault(HttpStatus.HEADER_FIELDS_TOO_LARGE, "head too large")
            return false
        }
        if (headBytes > maxHeadBytes) throw HttpFault(HttpStatus.HEADER_FIELDS_TOO_LARGE, "head too large")
        buffer.rescan()
        val sizeAfterHead = buffer.size - headBytes
        parseStartLine(checkNotNull(buffer.takeLine()))
        readHeaders(sizeAfterHead)
        return selectBodyFraming()
    }

    private fun parseStartLine(line: String) {
        val space = line.indexOf(' ')
        val secondSpace = if (space < 0) -1 else line.indexOf(' ', space + 1)
        if (response) parseStatusLine(line, space, secondSpace) else parseRequestLine(line, space, secondSpace)
    }

    private fun parseStatusLine(
        line: String,
        space: Int,
        secondSpace: Int,
    ) {
        if (space < 0 || !line.startsWith(VERSION)) throw HttpFault(HttpStatus.BAD_REQUEST, "bad status line")
        first = line.substring(0, space)
        second = if (secondSpace < 0) line.substring(space + 1) else line.substring(space + 1, secondSpace)
        third = if (secondSpace < 0) "" else line.substring(secondSpace + 1)
        if (second.length != STATUS_DIGITS || !second.all { it in '0'..'9' }) throw HttpFault(HttpStatus.BAD_REQUEST, "bad status")
    }

    private fun parseRequestLine(
        line: String,
        space: Int,
        secondSpace: Int,
    ) {
        if (space <= 0 || secondSpace < 0 || !line.startsWith(VERSION, secondSpace + 1)) throw HttpFault(HttpStatus.BAD_REQUEST, "bad request line")
        first = line.substring(0, space)
        second = line.substring(space + 1, secondSpace)
        third = line.substring(secondSpace + 1)
        if (!second.startsWith("/")) throw HttpFault(HttpStatus.BAD_REQUEST, "bad path")
    }

    /** Parses header lines until [sizeAfterHead] bytes are left in the buffer. */
    private fun readHeaders(sizeAfterHead: Int) {
        val fields = HashMap<String, String>()
        while (buffer.size > sizeAfterHead) {
            val text = checkNotNull(buffer.takeLine())
            if (text.isEmpty()) break
            readHeader(text, fields)
        }
        buffer.discard(buffer.size - sizeAfterHead)
        headers = fields
    }

    private fun readHeader(
        text: String,
        fields: MutableMap<String, String>,
    ) {
        val colon = text.indexOf(':')
        if (colon <= 0 || text[0] in BLANKS || text[colon - 1] == ' ') throw HttpFault(HttpStatus.BAD_REQUEST, "bad header")
        val name = text.substring(0, colon).lowercase()
        val value = text.substring(colon + 1).trim()
        val before = fields.put(name, value)
        if (before != null && name == CONTENT_LENGTH && before != value) throw HttpFault(HttpStatus.BAD_REQUEST, "two lengths")
    }

    private fun selectBodyFraming(): Boolean {
        val coding = headers[TRANSFER_ENCODING] ?: return selectFixedBody()
        if (!coding.equals("chunked", ignoreCase = true)) throw HttpFault(HttpStatus.NOT_IMPLEMENTED, "unknown transfer coding")
        if (headers.containsKey(CONTENT_LENGTH)) throw HttpFault(HttpStatus.BAD_REQUEST, "length and transfer coding")
        body = ByteArray(INITIAL_CHUNKED_BODY_BYTES)
        return moveTo(State.CHUNK_SIZE)
    }

    private fun selectFixedBody(): Boolean {
        val text = headers[CONTENT_LENGTH] ?: return moveTo(State.COMPLETE)
        if (text.isEmpty() || text.length > MAX_LENGTH_DIGITS || !text.all { it in '0'..'9' }) throw HttpFault(HttpStatus.BAD_REQUEST, "bad length")
        val length = text.toLong()
        if (length > maxBodyBytes) throw HttpFault(HttpStatus.CONTENT_TOO_LARGE, "body too large")
        body = if (length == 0L) NO_BYTES else ByteArray(length.toInt())
        missingBodyBytes = length.toInt()
        return moveTo(if (missingBodyBytes == 0) State.COMPLETE else State.FIXED_BODY)
    }

    private fun copyBody(maxBytes: Int): Int {
        val count = buffer.take(body, receivedBodyBytes, maxBytes)
        receivedBodyBytes += count
        return count
    }

    private fun parseFixedBody(): Boolean {
        missingBodyBytes -= copyBody(missingBodyBytes)
        return missingBodyBytes == 0 && moveTo(State.COMPLETE)
    }

    private fun parseChunkLine(): Boolean {
        val line = buffer.takeLine()
        if (line == null) {
            if (buffer.size > MAX_CHUNK_LINE_BYTES) throw HttpFault(HttpStatus.BAD_REQUEST, "chunk line too long")
            return false
        }
        val size = parseChunkSize(line)
        if (size == 0) {
            trailerBytes = 0
            return moveTo(State.TRAILER)
        }
        if (receivedBodyBytes.toLong() + size > maxBodyBytes) throw HttpFault(HttpStatus.CONTENT_TOO_LARGE, "body too large")
        if (receivedBodyBytes + size > body.size) body = body.copyOf(maxOf(receivedBodyBytes + size, minOf(body.size * 2, maxBodyBytes)))
        missingBodyBytes = size
        return moveTo(State.CHUNK_DATA)
    }

    private fun parseChunkSize(line: String): Int {
        val text = line.substringBefore(';').trim()
        val size = if (text.isEmpty() || text.length > MAX_CHUNK_SIZE_DIGITS || text[0] == '-' || text[0] == '+') null else text.toIntOrNull(HEXADECIMAL)
        return size ?: throw HttpFault(HttpStatus.BAD_REQUEST, "bad chunk size")
    }

    private fun parseChunkData(): Boolean {
        missingBodyBytes -= copyBody(missingBodyBytes)
        return missingBodyBytes == 0 && moveTo(State.CHUNK_END)
    }

    private fun parseChunkEnd(): Boolean {
        val line = buffer.takeLine()
        if (line == null) {
            if (buffer.size > LINE_BREAK_BYTES) throw HttpFault(HttpStatus.BAD_REQUEST, "chunk does not end")
            return false
        }
        if (line.isNotEmpty()) throw HttpFault(HttpStatus.BAD_REQUEST, "chunk does not end")
        return moveTo(State.CHUNK_SIZE)
    }

    private fun parseTrailer(): Boolean {
        val sizeBefore = buffer.size
        val line = buffer.takeLine()
        if (line == null) {
            if (trailerBytes + buffer.size > maxHeadBytes) throw HttpFault(HttpStatus.HEADER_FIELDS_TOO_LARGE, "trailer too large")
            return false
        }
        trailerBytes += sizeBefore - buffer.size
        if (trailerBytes > maxHeadBytes) throw HttpFault(HttpStatus.HEADER_FIELDS_TOO_LARGE, "trailer too large")
        return if (line.isEmpty()) moveTo(State.COMPLETE) else true
    }

    private companion object {
        const val VERSION = "HTTP/1."
        const val BLANKS = " \t"
        const val CONTENT_LENGTH = "content-length"
        const val TRANSFER_ENCODING = "transfer-encoding"
        const val STATUS_DIGITS = 3

        /** Maximum number of digits of a `Content-Length`. Any decimal number of this length fits a `Long`. */
        const val MAX_LENGTH_DIGITS = 18

        /** Maximum number of hexadecimal digits of a chunk size. Any number of this length fits an `Int`. */
        const val MAX_CHUNK_SIZE_DIGITS = 7
        const val HEXADECIMAL = 16
        const val MAX_CHUNK_LINE_BYTES = 256
        const val LINE_BREAK_BYTES = 2
        const val INITIAL_CHUNKED_BODY_BYTES = 256
        val NO_BYTES = ByteArray(0)
    }
}
