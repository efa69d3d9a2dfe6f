package mintfield.core.jobs

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class RoundKeyTest {
    @Test
    fun `round records are replayed in the order of their leaders and numbers, whatever their revisions`() {
        // Guards against ran_twice: a late copy of a transaction gives an old round a new revision.
        val revisions = mapOf("9-10" to 40L, "9-2" to 90L, "120-1" to 130L, "30-7" to 200L)
        assertEquals(listOf("9-2", "9-10", "30-7", "120-1"), revisions.keys.sortedBy { RoundKey.parse(it, revisions.getValue(it)) })
    }

    @Test
    fun `a record under an unknown key takes its place by its revision`() {
        val revisions = mapOf("30-7" to 35L, "later" to 40L, "50-1" to 51L)
        assertEquals(listOf("30-7", "later", "50-1"), revisions.keys.sortedBy { RoundKey.parse(it, revisions.getValue(it)) })
    }
}
