package mintfield.core.leadership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class CancellationLogTest {
    @Test
    fun `a log is read once, in order, and holds each job once`() {
        val log = CancellationLog(7)
        repeat(2) { listOf("wk-1", "wk-2").forEach(log::append) }
        assertEquals(CancellationPage(7, 0, listOf("wk-1", "wk-2"), 2), log.after(9, 55))
        log.append("wk-3")
        assertEquals(CancellationPage(7, 2, listOf("wk-3"), 3), log.after(7, 2))
    }
}
