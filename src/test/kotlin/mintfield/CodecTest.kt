package mintfield

import mintfield.core.jobs.PlannedGroup
import mintfield.core.jobs.ShardRecord
import mintfield.core.jobs.Shards
import mintfield.core.leadership.LeaseClock
import mintfield.io.json.Json
import mintfield.io.store.Records
import mintfield.io.worker.JobCodec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet

class CodecTest {
    @Test
    fun `a job survives its record`() {
        val job = Fixtures.accepted(Fixtures.spec("wk-000001", tasks = 7, zone = "north", deadlineS = 90.0), 5, 1_234)
        assertEquals(job, Records.parseLive(Json.parseObject(Records.live(job))!!, 5) { emptyList() })
    }

    @Test
    fun `a shard survives its record`() {
        val done = BitSet().apply { set(0, 5) }
        val record = ShardRecord(listOf(PlannedGroup("m-1", 2, 65_537, listOf(197, 198, 199, 210)), PlannedGroup("m-2", 1, 9, listOf(205))), done)
        assertEquals(record, Records.parseShard(Json.parseObject(Records.shard(record, 1))!!, 1))
    }

    @Test
    fun `the largest shard fits the smaller deployment's values`() {
        val groups = (0 until Shards.TASKS).map { PlannedGroup("m-%06d".format(it), 12, 40_000L * 65_536 + it, listOf(it)) }
        val bytes = Records.shard(ShardRecord(groups, BitSet().apply { set(0, Shards.TASKS) }), 0).size
        assertTrue(bytes <= 8 * 1024, "$bytes bytes")
    }

    @Test
    fun `a malformed job is refused with the field's name, and its id kept if it can be read`() {
        val good = String(Json.write { JobCodec.write(it, Fixtures.spec("wk-000001")) })
        assertTrue(JobCodec.parse(Json.parse(good.toByteArray())) is JobCodec.Parsed.Valid)
        val cases =
            mapOf(
                "\"pieces\":1" to "\"pieces\":0",
                "\"pieces\":1" to "\"pieces\":100001",
                "\"pieces\":1" to "\"pieces\":1.5",
                "\"shape\":\"sweep\"" to "\"shape\":\"heap\"",
                "\"urgency\":\"normal\"" to "\"urgency\":7",
                "\"vcpus\":1.0" to "\"vcpus\":-1",
                "\"memoryGb\":1.0" to "\"memoryGb\":\"1\"",
                "\"samePlace\":false" to "\"samePlace\":null",
                "\"seedbag\":\"img-1\"" to "\"seedbag\":\"\"",
            )
        for ((from, to) in cases) {
            val bad = JobCodec.parse(Json.parse(good.replace(from, to).toByteArray()))
            assertTrue(bad is JobCodec.Parsed.Invalid, to)
            assertEquals("wk-000001", (bad as JobCodec.Parsed.Invalid).id, to)
            assertTrue(bad.reason.startsWith(to.substring(1).substringBefore('"')), "$to: ${bad.reason}")
        }
        for (id in listOf("wk-", "-1", "WK-1", "wk-1x", "wk/1", "")) assertFalse(JobCodec.isId(id), id)
    }

    @Test
    fun `a lease counts from the sending of its renewal and ends before the store's can`() {
        val clock = LeaseClock(3_500, 1_000)
        assertTrue(clock.mayAct(4_300))
        assertFalse(clock.mayAct(4_400))
        clock.renewed(3_000)
        clock.renewed(2_000)
        assertTrue(clock.mayAct(6_300))
    }
}
