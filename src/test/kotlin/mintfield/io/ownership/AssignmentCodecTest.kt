package mintfield.io.ownership

import mintfield.core.ownership.Assignment
import mintfield.core.ownership.AssignmentTable
import mintfield.io.json.Json
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Encoding and decoding of blocks of the assignment table. */
class AssignmentCodecTest {
    @Test
    fun `decodes the block that it encoded, and rejects a block with an unreadable assignment`() {
        val block = mapOf("m-1" to Assignment.Owned("a"), "m-2" to Assignment.Releasing("a", "b"), "m-3" to Assignment.Offered("b", "a"))
        assertEquals(block, AssignmentCodec.parse(Json.parseObject(AssignmentCodec.write(block))!!))
        for (bad in listOf(
            """{"m-1":{"owner":"a"},"m-2":{}}""",
            """{"m-1":"a"}""",
            """{"m-1":{"owner":"a","lent":"b"}}""",
            """{"m-1":{"owner":"a","releasing":"b","offered":"c"}}""",
        )) {
            assertNull(AssignmentCodec.parse(Json.parseObject(bad.toByteArray())!!), bad)
        }
    }

    @Test
    fun `blocks of 4,000 machines fit the smallest value limit`() {
        val blocks = (0 until 4_000).map { "m-%06d".format(it) }.groupBy(AssignmentTable::blockOf)
        val largest =
            blocks.values.maxOf { machines ->
                AssignmentCodec.write(machines.associateWith { Assignment.Releasing("print-floor", "folha-justa") }).size
            }
        assertTrue(largest < 8 * 1024, "$largest bytes")
    }

    @Test
    fun `blocks of 4,000 machines with traced moves fit the smallest value limit`() {
        val trace = "00-" + "a".repeat(32) + "-" + "b".repeat(16) + "-01"
        val block =
            (0 until 4_000)
                .map { "m-%06d".format(it) }
                .groupBy(AssignmentTable::blockOf)
                .values
                .maxBy { it.size }
        assertEquals(true, AssignmentCodec.write(block.associateWith { Assignment.Releasing("print-floor", "folha-justa", trace) }).size < 8 * 1024)
    }
}
