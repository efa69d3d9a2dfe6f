package mintfield.io.http

import java.nio.ByteBuffer

/**
 * Buffer of received bytes that have not been parsed yet. Lines and blocks of bytes are taken from the front, new bytes are appended.
 * Bytes already searched for the end of a line are not searched again when more bytes arrive.
 */
internal class LineBuffer {
    private var bytes = ByteArray(INITIAL_BYTES)
    private var start = 0
    private var end = 0
    private var scanned = 0

    /** Number of bytes in the buffer. */
    val size: Int get() = end - start

    val isEmpty: Boolean get() = start == end

    /** Appends all remaining bytes of [from]. */
    fun append(from: ByteBuffer) {
        val count = from.remaining()
        if (end + count > bytes.size) compact(count)
        from.get(bytes, end, count)
        end += count
    }

    /** Takes the next line and returns it without its line break; null if the end of the line has not arrived. */
    fun takeLine(): String? {
        val after = lineEnd()
        if (after < 0) return null
        var stop = after - 1
        if (stop > start && bytes[stop - 1] == CR) stop--
        val text = String(bytes, start, stop - start, Charsets.ISO_8859_1)
        start = after
        scanned = after
        return text
    }

    /** Index just after the next line feed; -1 if there is none. */
    private fun lineEnd(): Int {
        var index = scanned
        while (index < end) {
            if (bytes[index] == LF) return index + 1
            index++
        }
        scanned = end
        return -1
    }

    /** Discards line breaks at the front. */
    fun skipLineBreaks() {
        while (start < end && (bytes[start] == CR || bytes[start] == LF)) start++
        if (scanned < start) scanned = start
    }

    /** Number of bytes up to and including the first empty line; -1 if that line has not arrived. */
    fun bytesToHeadEnd(): Int {
        var index = maxOf(start, scanned - HEAD_END_BYTES)
        while (index < end) {
            if (bytes[index] == LF) {
                if (index + 1 < end && bytes[index + 1] == LF) return index + 2 - start
                if (index + 2 < end && bytes[index + 1] == CR && bytes[index + 2] == LF) return index + HEAD_END_BYTES - start
            }
            index++
        }
        scanned = end
        return -1
    }

    /** Makes the next search for the end of a line start at the front again. */
    fun rescan() {
        scanned = start
    }

    /** Discards [count] bytes at the front. */
    fun discard(count: Int) {
        start += count
    }

    /** Moves up to [maxBytes] bytes to [target] at [offset]; returns the number of bytes moved. */
    fun take(
        target: ByteArray,
        offset: Int,
        maxBytes: Int,
    ): Int {
        val count = minOf(maxBytes, size)
        System.arraycopy(bytes, start, target, offset, count)
        start += count
        return count
    }

    /** Resets the buffer if it is empty, and replaces an array larger than [MAX_RETAINED_BYTES] by one of the initial size. */
    fun shrinkIfEmpty() {
        if (!isEmpty) return
        start = 0
        end = 0
        scanned = 0
        if (bytes.size > MAX_RETAINED_BYTES) bytes = ByteArray(INITIAL_BYTES)
    }

    /** Moves the content to the front of the array, or of a larger one, so that [additional] bytes fit after it. */
    private fun compact(additional: Int) {
        val held = size
        val target = if (held + additional > bytes.size) ByteArray(maxOf(bytes.size * 2, held + additional)) else bytes
        System.arraycopy(bytes, start, target, 0, held)
        scanned -= start
        start = 0
        end = held
        bytes = target
    }

    private companion object {
        const val LF = '\n'.code.toByte()
        const val CR = '\r'.code.toByte()

        /** Size of the line feed of the last header line and the CR LF of the empty line after it. */
        const val HEAD_END_BYTES = 3
        const val INITIAL_BYTES = 1024

        /** Maximum size of an array that is kept when the buffer is empty. */
        const val MAX_RETAINED_BYTES = 16 * 1024
    }
}
