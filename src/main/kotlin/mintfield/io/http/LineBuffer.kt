package mintfield.io.http

import java.nio.ByteBuffer

/**
 * Received bytes that have not been parsed yet: lines and counted bytes are taken from the front, new bytes are appended. What has
 * been searched for the end of a line is not searched again when more bytes arrive.
 */
internal class LineBuffer {
    private var bytes = ByteArray(INITIAL_BYTES)
    private var start = 0
    private var end = 0
    private var scanned = 0

    /** Bytes held. */
    val size: Int get() = end - start

    val isEmpty: Boolean get() = start == end

    /** Appends all remaining bytes of [from]. */
    fun append(from: ByteBuffer) {
        val count = from.remaining()
        if (end + count > bytes.size) compact(count)
        from.get(bytes, end, count)
        end += count
    }

    /** Takes the next line without its line break; null if its end has not arrived. */
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

    /** Index just after the next line feed, or -1. */
    private fun lineEnd(): Int {
        var index = scanned
        while (index < end) {
            if (bytes[index] == LF) return index + 1
            index++
        }
        scanned = end
        return -1
    }

    /** Drops line breaks at the front. */
    fun skipLineBreaks() {
        while (start < end && (bytes[start] == CR || bytes[start] == LF)) start++
        if (scanned < start) scanned = start
    }

    /** Bytes up to and including the first empty line, or -1 if that has not arrived. */
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

    /** Searches for line ends from the front again. */
    fun rescan() {
        scanned = start
    }

    /** Drops [count] bytes at the front. */
    fun discard(count: Int) {
        start += count
    }

    /** Moves up to [most] bytes to [target] at [offset]; returns how many. */
    fun take(
        target: ByteArray,
        offset: Int,
        most: Int,
    ): Int {
        val count = minOf(most, size)
        System.arraycopy(bytes, start, target, offset, count)
        start += count
        return count
    }

    /** If no byte is held, starts anew at the front of a buffer of ordinary size. */
    fun reclaim() {
        if (!isEmpty) return
        start = 0
        end = 0
        scanned = 0
        if (bytes.size > MAX_KEPT_BYTES) bytes = ByteArray(INITIAL_BYTES)
    }

    private fun compact(more: Int) {
        val held = size
        val target = if (held + more > bytes.size) ByteArray(maxOf(bytes.size * 2, held + more)) else bytes
        System.arraycopy(bytes, start, target, 0, held)
        scanned -= start
        start = 0
        end = held
        bytes = target
    }

    private companion object {
        const val LF = '\n'.code.toByte()
        const val CR = '\r'.code.toByte()

        /** The line feed of the last header line, and the line break of the empty line after it. */
        const val HEAD_END_BYTES = 3
        const val INITIAL_BYTES = 1024

        /** A larger buffer is given up once it is empty. */
        const val MAX_KEPT_BYTES = 16 * 1024
    }
}
