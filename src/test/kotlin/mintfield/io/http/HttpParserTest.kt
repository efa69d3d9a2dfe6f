package mintfield.io.http

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import java.nio.ByteBuffer

class HttpParserTest {
    private fun parser(
        maxBody: Int = 1000,
        response: Boolean = false,
    ) = HttpParser(500, maxBody, response)

    private fun HttpParser.feed(text: String) = feed(ByteBuffer.wrap(text.toByteArray(Charsets.ISO_8859_1)))

    private fun HttpMessage.text() = String(body)

    private val whole = "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"

    @Test
    fun `a request split at any byte is parsed`() {
        for (cut in 1 until whole.length) {
            val p = parser()
            p.feed(whole.substring(0, cut))
            assertNull(p.next(), "cut at $cut")
            p.feed(whole.substring(cut))
            val m = p.next()!!
            assertEquals(listOf("POST", "/v1/jobs", "hello"), listOf(m.first, m.second, m.text()))
        }
    }

    @Test
    fun `consecutive requests on one connection are parsed`() {
        val p = parser()
        p.feed(whole + "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n")
        assertEquals("hello", p.next()!!.text())
        val second = p.next()!!
        assertEquals("/ready", second.second)
        assertFalse(second.keepAlive)
        assertNull(p.next())
    }

    @Test
    fun `a chunked body is assembled and its trailer is discarded`() {
        val p = parser()
        val text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=1\r\nhello\r\n1\r\n!\r\n0\r\nX: y\r\n\r\nGET / HTTP/1.1\r\n\r\n"
        text.forEach { p.feed(it.toString()) }
        assertEquals("hello!", p.next()!!.text())
        assertEquals("GET", p.next()!!.first)
    }

    @Test
    fun `a response is parsed`() {
        val p = parser(response = true)
        p.feed("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 2\r\n\r\n{}")
        assertEquals("503", p.next()!!.second)
    }

    @Test
    fun `a malformed message is refused with the status for its fault`() {
        val cases =
            mapOf(
                "GET\r\n\r\n" to 400,
                "GET / HTTP/2\r\n\r\n" to 400,
                "GET / HTTP/1.1\r\nno colon\r\n\r\n" to 400,
                "GET / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n" to 400,
                "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n" to 400,
                "POST / HTTP/1.1\r\nContent-Length: 1x\r\n\r\n" to 400,
                "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n" to 400,
                "POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n" to 413,
                "POST / HTTP/1.1\r\nContent-Length: 999999999999999999\r\n\r\n" to 413,
                "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n" to 501,
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n" to 400,
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n" to 400,
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\n" to 413,
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n" to 400,
                "GET / HTTP/1.1\r\nA: ${"x".repeat(600)}\r\n\r\n" to 431,
                "GET /${"x".repeat(600)}" to 431,
            )
        for ((text, status) in cases) {
            val p = parser()
            val fault =
                assertThrows(HttpFault::class.java, {
                    p.feed(text)
                    p.next()
                }, text)
            assertEquals(status, fault.status, text)
        }
    }
}
