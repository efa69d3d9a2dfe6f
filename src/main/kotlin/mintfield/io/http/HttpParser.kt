package mintfield.io.http

import java.nio.ByteBuffer

/**
 * Incremental parser of HTTP/1.1 messages (RFC 9112). It is fed with bytes as they arrive and yields a message as soon as one is
 * complete. Limits on head and body are checked while reading, so that no peer can make it hold more.
 *
 * Not thread-safe: an instance belongs to one connection.
 */
class HttpParser(
    private val maxHead: Int,
    private val maxBody: Int,
    private val response: Boolean,
) {
    private enum class State { HEAD, FIXED_BODY, CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILER, WHOLE }

    private var state = State.HEAD
    private val buffer = LineBuffer()

    private var first = ""
    private var second = ""
    private var third = ""
    private var headers: Map<String, String> = emptyMap()
    private var body = NO_BYTES
    private var filled = 0
    private var missing = 0
    private var trailerBytes = 0

    /** Whether no byte of a further message has arrived. */
    val idle: Boolean get() = state == State.HEAD && buffer.isEmpty

    /** Takes over all remaining [bytes]. */
    fun feed(bytes: ByteBuffer) = buffer.append(bytes)

    /**
     * The next complete message, or null if more bytes are needed.
     *
     * @throws HttpFault if the bytes are no HTTP/1.1 message or exceed a limit; the connection cannot be used any further
     */
    fun next(): HttpMessage? {
        while (true) {
            val moved =
                when (state) {
                    State.HEAD -> head()
                    State.FIXED_BODY -> fixedBody()
                    State.CHUNK_SIZE -> chunkSize()
                    State.CHUNK_DATA -> chunkData()
                    State.CHUNK_END -> chunkEnd()
                    State.TRAILER -> trailer()
                    State.WHOLE -> return take()
                }
            if (!moved) return null
        }
    }

    private fun moveTo(next: State): Boolean {
        state = next
        buffer.rescan()
        return true
    }

    private fun take(): HttpMessage {
        val whole = if (filled == body.size) body else body.copyOf(filled)
        val message = HttpMessage(first, second, third, headers, whole)
        body = NO_BYTES
        filled = 0
        moveTo(State.HEAD)
        buffer.reclaim()
        return message
    }

    private fun head(): Boolean {
        buffer.skipLineBreaks() // Some clients send an empty line between messages.
        val headBytes = buffer.bytesToHeadEnd()
        if (headBytes < 0) {
            if (buffer.size > maxHead) throw HttpFault(HttpStatus.HEADER_FIELDS_TOO_LARGE, "head too large")
            return false
        }
        if (headBytes > maxHead) throw HttpFault(HttpStatus.HEADER_FIELDS_TOO_LARGE, "head too large")
        buffer.rescan()
        val sizeAfterHead = buffer.size - headBytes
        startLine(checkNotNull(buffer.takeLine()))
        readHeaders(sizeAfterHead)
        return chooseBody()
    }

    private fun startLine(line: String) {
        val space = line.indexOf(' ')
        val secondSpace = if (space < 0) -1 else line.indexOf(' ', space + 1)
        if (response) statusLine(line, space, secondSpace) else requestLine(line, space, secondSpace)
    }

    private fun statusLine(
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

    private fun requestLine(
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

    /** Reads header lines until [sizeAfterHead] bytes are left. */
    private fun readHeaders(sizeAfterHead: Int) {
        val found = HashMap<String, String>()
        while (buffer.size > sizeAfterHead) {
            val text = checkNotNull(buffer.takeLine())
            if (text.isEmpty()) break
            readHeader(text, found)
        }
        buffer.discard(buffer.size - sizeAfterHead)
        headers = found
    }

    private fun readHeader(
        text: String,
        found: MutableMap<String, String>,
    ) {
        val colon = text.indexOf(':')
        if (colon <= 0 || text[0] in BLANKS || text[colon - 1] == ' ') throw HttpFault(HttpStatus.BAD_REQUEST, "bad header")
        val name = text.substring(0, colon).lowercase()
        val value = text.substring(colon + 1).trim()
        val before = found.put(name, value)
        if (before != null && name == CONTENT_LENGTH && before != value) throw HttpFault(HttpStatus.BAD_REQUEST, "two lengths")
    }

    private fun chooseBody(): Boolean {
        val coding = headers[TRANSFER_ENCODING] ?: return chooseFixedBody()
        if (!coding.equals("chunked", ignoreCase = true)) throw HttpFault(HttpStatus.NOT_IMPLEMENTED, "unknown transfer coding")
        if (headers.containsKey(CONTENT_LENGTH)) throw HttpFault(HttpStatus.BAD_REQUEST, "length and transfer coding")
        body = ByteArray(INITIAL_CHUNKED_BODY_BYTES)
        return moveTo(State.CHUNK_SIZE)
    }

    private fun chooseFixedBody(): Boolean {
        val text = headers[CONTENT_LENGTH] ?: return moveTo(State.WHOLE)
        if (text.isEmpty() || text.length > MAX_LENGTH_DIGITS || !text.all { it in '0'..'9' }) throw HttpFault(HttpStatus.BAD_REQUEST, "bad length")
        val length = text.toLong()
        if (length > maxBody) throw HttpFault(HttpStatus.CONTENT_TOO_LARGE, "body too large")
        body = if (length == 0L) NO_BYTES else ByteArray(length.toInt())
        missing = length.toInt()
        return moveTo(if (missing == 0) State.WHOLE else State.FIXED_BODY)
    }

    private fun copyBody(most: Int): Int {
        val count = buffer.take(body, filled, most)
        filled += count
        return count
    }

    private fun fixedBody(): Boolean {
        missing -= copyBody(missing)
        return missing == 0 && moveTo(State.WHOLE)
    }

    private fun chunkSize(): Boolean {
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
        if (filled.toLong() + size > maxBody) throw HttpFault(HttpStatus.CONTENT_TOO_LARGE, "body too large")
        if (filled + size > body.size) body = body.copyOf(maxOf(filled + size, minOf(body.size * 2, maxBody)))
        missing = size
        return moveTo(State.CHUNK_DATA)
    }

    private fun parseChunkSize(line: String): Int {
        val text = line.substringBefore(';').trim()
        val size = if (text.isEmpty() || text.length > MAX_CHUNK_SIZE_DIGITS || text[0] == '-' || text[0] == '+') null else text.toIntOrNull(HEXADECIMAL)
        return size ?: throw HttpFault(HttpStatus.BAD_REQUEST, "bad chunk size")
    }

    private fun chunkData(): Boolean {
        missing -= copyBody(missing)
        return missing == 0 && moveTo(State.CHUNK_END)
    }

    private fun chunkEnd(): Boolean {
        val line = buffer.takeLine()
        if (line == null) {
            if (buffer.size > LINE_BREAK_BYTES) throw HttpFault(HttpStatus.BAD_REQUEST, "chunk does not end")
            return false
        }
        if (line.isNotEmpty()) throw HttpFault(HttpStatus.BAD_REQUEST, "chunk does not end")
        return moveTo(State.CHUNK_SIZE)
    }

    private fun trailer(): Boolean {
        val sizeBefore = buffer.size
        val line = buffer.takeLine()
        if (line == null) {
            if (trailerBytes + buffer.size > maxHead) throw HttpFault(HttpStatus.HEADER_FIELDS_TOO_LARGE, "trailer too large")
            return false
        }
        trailerBytes += sizeBefore - buffer.size
        if (trailerBytes > maxHead) throw HttpFault(HttpStatus.HEADER_FIELDS_TOO_LARGE, "trailer too large")
        return if (line.isEmpty()) moveTo(State.WHOLE) else true
    }

    private companion object {
        const val VERSION = "HTTP/1."
        const val BLANKS = " \t"
        const val CONTENT_LENGTH = "content-length"
        const val TRANSFER_ENCODING = "transfer-encoding"
        const val STATUS_DIGITS = 3

        /** Digits of a length that surely fit a `Long`. */
        const val MAX_LENGTH_DIGITS = 18

        /** Hexadecimal digits of a chunk size that surely fit an `Int`. */
        const val MAX_CHUNK_SIZE_DIGITS = 7
        const val HEXADECIMAL = 16
        const val MAX_CHUNK_LINE_BYTES = 256
        const val LINE_BREAK_BYTES = 2
        const val INITIAL_CHUNKED_BODY_BYTES = 256
        val NO_BYTES = ByteArray(0)
    }
}
