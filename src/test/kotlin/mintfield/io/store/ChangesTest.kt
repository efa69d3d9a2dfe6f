package mintfield.io.store

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class ChangesTest {
    @Test
    fun `the newest change has the highest revision, whatever its position in the log`() {
        // A controller that took the last change of the list for the newest could run for election while a leader exists.
        val deleted = Change("mf/leader", null, 432)
        val written = Change("mf/leader", mapOf("member" to "plot-1"), 433)
        for (log in listOf(listOf(deleted, written), listOf(written, deleted))) {
            assertEquals(written, Changes(433, log, tooOld = false).newest())
        }
        assertNull(Changes(433, emptyList(), tooOld = false).newest())
    }
}
