package mintfield.core.leadership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class CancellationLogTest {
    @Test
    fun `pages list entries in order without duplicates and continue at the reader's position`() {
        val log = CancellationLog(7)
        repeat(2) { listOf("wk-1", "wk-2").forEach(log::append) }
        assertEquals(CancellationPage(7, 0, listOf("wk-1", "wk-2"), 2), log.pageFrom(9, 55))
        log.append("wk-3")
        assertEquals(CancellationPage(7, 2, listOf("wk-3"), 3), log.pageFrom(7, 2))
    }
}
