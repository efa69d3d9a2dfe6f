package mintfield.io.http

import java.nio.ByteBuffer

/** One whole message: for a request [first] is the method and [second] the path, for a response version and status. */
class HttpMessage(
    val first: String,
    val second: String,
    val third: String,
    val headers: Map<String, String>,
    val body: ByteArray,
) {
    val keepAlive: Boolean
        get() = !(headers["connection"] ?: "").contains("close", ignoreCase = true)
}

/** What is wrong with a message, and the status a server answers with. */
class HttpFault(
    val status: Int,
    reason: String,
) : Exception(reason, null, false, false) {
    companion object {
        /** Status for a body that is longer than its receiver takes. */
        const val TOO_LARGE = 413
    }
}

/**
 * Incremental HTTP/1.1 parser: fed with whatever bytes have come, it yields a message as soon as one is whole.
 * Limits on head and body are checked while reading, so that no peer can make it hold more.
 */
class HttpParser(
    private val maxHead: Int,
    private val maxBody: Int,
    private val response: Boolean,
) {
    private enum class State { HEAD, FIXED_BODY, CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILER, WHOLE }

    private var state = State.HEAD
    private var buffer = ByteArray(1024)
    private var start = 0
    private var end = 0
    private var scanned = 0

    private var first = ""
    private var second = ""
    private var third = ""
    private var headers: Map<String, String> = emptyMap()
    private var body = NO_BYTES
    private var filled = 0
    private var need = 0
    private var trailerBytes = 0

    /** True when no byte of a further message has come. */
    val idle: Boolean get() = state == State.HEAD && start == end

    fun feed(bytes: ByteBuffer) {
        val n = bytes.remaining()
        if (end + n > buffer.size) compact(n)
        bytes.get(buffer, end, n)
        end += n
    }

    /** The next whole message, or null if more bytes are needed. */
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
        scanned = start
        return true
    }

    private fun take(): HttpMessage {
        val whole = if (filled == body.size) body else body.copyOf(filled)
        val message = HttpMessage(first, second, third, headers, whole)
        body = NO_BYTES
        filled = 0
        moveTo(State.HEAD)
        if (start == end) {
            start = 0
            end = 0
            scanned = 0
            if (buffer.size > KEEP_BUFFER) buffer = ByteArray(1024)
        }
        return message
    }

    /** Index just after the next line feed, or -1; remembers how far it has looked. */
    private fun lineEnd(): Int {
        var i = scanned
        while (i < end) {
            if (buffer[i] == LF) return i + 1
            i++
        }
        scanned = end
        return -1
    }

    private fun line(after: Int): String {
        var stop = after - 1
        if (stop > start && buffer[stop - 1] == CR) stop--
        val text = String(buffer, start, stop - start, Charsets.ISO_8859_1)
        start = after
        scanned = after
        return text
    }

    private fun head(): Boolean {
        // Some clients send an empty line between messages.
        while (start < end && (buffer[start] == CR || buffer[start] == LF)) start++
        if (scanned < start) scanned = start
        val headEnd = findHeadEnd()
        if (headEnd < 0) {
            if (end - start > maxHead) throw HttpFault(431, "head too large")
            return false
        }
        if (headEnd - start > maxHead) throw HttpFault(431, "head too large")
        scanned = start
        startLine(line(lineEnd()))
        readHeaders(headEnd)
        return chooseBody()
    }

    private fun findHeadEnd(): Int {
        var i = maxOf(start, scanned - 3)
        while (i < end) {
            if (buffer[i] == LF) {
                if (i + 1 < end && buffer[i + 1] == LF) return i + 2
                if (i + 2 < end && buffer[i + 1] == CR && buffer[i + 2] == LF) return i + 3
            }
            i++
        }
        scanned = end
        return -1
    }

    private fun startLine(line: String) {
        val a = line.indexOf(' ')
        val b = if (a < 0) -1 else line.indexOf(' ', a + 1)
        if (response) {
            if (a < 0 || !line.startsWith("HTTP/1.")) throw HttpFault(400, "bad status line")
            first = line.substring(0, a)
            second = if (b < 0) line.substring(a + 1) else line.substring(a + 1, b)
            third = if (b < 0) "" else line.substring(b + 1)
            if (second.length != 3 || !second.all { it in '0'..'9' }) throw HttpFault(400, "bad status")
        } else {
            if (a <= 0 || b < 0 || !line.startsWith("HTTP/1.", b + 1)) throw HttpFault(400, "bad request line")
            first = line.substring(0, a)
            second = line.substring(a + 1, b)
            third = line.substring(b + 1)
            if (!second.startsWith("/")) throw HttpFault(400, "bad path")
        }
    }

    private fun readHeaders(headEnd: Int) {
        val found = HashMap<String, String>()
        while (start < headEnd) {
            val text = line(lineEnd())
            if (text.isEmpty()) break
            val colon = text.indexOf(':')
            if (colon <= 0 || text[0] == ' ' || text[0] == '\t') throw HttpFault(400, "bad header")
            val name = text.substring(0, colon).lowercase()
            if (name.last() == ' ') throw HttpFault(400, "bad header")
            val value = text.substring(colon + 1).trim()
            val before = found.put(name, value)
            if (before != null && name == "content-length" && before != value) throw HttpFault(400, "two lengths")
        }
        start = headEnd
        headers = found
    }

    private fun chooseBody(): Boolean {
        val coding = headers["transfer-encoding"]
        if (coding != null) {
            if (!coding.equals("chunked", ignoreCase = true)) throw HttpFault(501, "unknown transfer coding")
            if (headers.containsKey("content-length")) throw HttpFault(400, "length and transfer coding")
            body = ByteArray(256)
            return moveTo(State.CHUNK_SIZE)
        }
        val text = headers["content-length"] ?: return moveTo(State.WHOLE)
        if (text.isEmpty() || text.length > 18 || !text.all { it in '0'..'9' }) throw HttpFault(400, "bad length")
        val length = text.toLong()
        if (length > maxBody) throw HttpFault(HttpFault.TOO_LARGE, "body too large")
        body = if (length == 0L) NO_BYTES else ByteArray(length.toInt())
        need = length.toInt()
        return moveTo(if (need == 0) State.WHOLE else State.FIXED_BODY)
    }

    private fun copyBody(most: Int): Int {
        val n = minOf(most, end - start)
        System.arraycopy(buffer, start, body, filled, n)
        start += n
        filled += n
        return n
    }

    private fun fixedBody(): Boolean {
        need -= copyBody(need)
        return need == 0 && moveTo(State.WHOLE)
    }

    private fun chunkSize(): Boolean {
        val after = lineEnd()
        if (after < 0) {
            if (end - start > MAX_CHUNK_LINE) throw HttpFault(400, "chunk line too long")
            return false
        }
        val text = line(after).substringBefore(';').trim()
        if (text.isEmpty() || text.length > 7) throw HttpFault(400, "bad chunk size")
        val size = text.toIntOrNull(16)?.takeIf { text[0] != '-' && text[0] != '+' } ?: throw HttpFault(400, "bad chunk size")
        if (size == 0) {
            trailerBytes = 0
            return moveTo(State.TRAILER)
        }
        if (filled.toLong() + size > maxBody) throw HttpFault(HttpFault.TOO_LARGE, "body too large")
        if (filled + size > body.size) body = body.copyOf(maxOf(filled + size, minOf(body.size * 2, maxBody)))
        need = size
        return moveTo(State.CHUNK_DATA)
    }

    private fun chunkData(): Boolean {
        need -= copyBody(need)
        return need == 0 && moveTo(State.CHUNK_END)
    }

    private fun chunkEnd(): Boolean {
        val after = lineEnd()
        if (after < 0) {
            if (end - start > 2) throw HttpFault(400, "chunk does not end")
            return false
        }
        if (line(after).isNotEmpty()) throw HttpFault(400, "chunk does not end")
        return moveTo(State.CHUNK_SIZE)
    }

    private fun trailer(): Boolean {
        val after = lineEnd()
        if (after < 0) {
            if (trailerBytes + end - start > maxHead) throw HttpFault(431, "trailer too large")
            return false
        }
        trailerBytes += after - start
        if (trailerBytes > maxHead) throw HttpFault(431, "trailer too large")
        return if (line(after).isEmpty()) moveTo(State.WHOLE) else true
    }

    private fun compact(more: Int) {
        val held = end - start
        val target = if (held + more > buffer.size) ByteArray(maxOf(buffer.size * 2, held + more)) else buffer
        System.arraycopy(buffer, start, target, 0, held)
        scanned -= start
        start = 0
        end = held
        buffer = target
    }

    private companion object {
        const val LF = '\n'.code.toByte()
        const val CR = '\r'.code.toByte()
        const val KEEP_BUFFER = 16 * 1024
        const val MAX_CHUNK_LINE = 256
        val NO_BYTES = ByteArray(0)
    }
}
