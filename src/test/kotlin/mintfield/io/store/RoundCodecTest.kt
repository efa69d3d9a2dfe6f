package mintfield.io.store

import mintfield.Fixtures
import mintfield.core.Cluster
import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job
import mintfield.core.jobs.PlannedGroup
import mintfield.core.jobs.RoundPacker
import mintfield.core.jobs.RoundPart
import mintfield.core.jobs.RoundRecord
import mintfield.io.json.Json
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Encoding and decoding of the records of scheduling rounds. */
class RoundCodecTest {
    @Test
    fun `records of a job with each task on a machine of its own fit the value limit`() {
        val cluster = Cluster(Fixtures.settings, 40_000) {}
        val job = Job(Fixtures.accepted(Fixtures.spec("wk-000001", tasks = 400), 2))
        for (i in 0 until 400) {
            val m = Machine("m-%06d".format(i), Fixtures.box, "north", false)
            cluster.occupy(job, i, 40_000L * 65_536 + i, m, 12)
        }
        val records = RoundPacker.pack(listOf(job), RoundPacker.Limits(maxBytes = 7_300, maxRecords = 9, maxJobs = 9))
        assertTrue(records.size > 1 && records.all { RoundCodec.encode(it).size <= 8 * 1024 }, "${records.map { RoundCodec.encode(it).size }}")
        assertEquals((0 until 400).toList(), records.flatMap { it.parts }.flatMap { it.indices }.sorted())
        assertTrue(job.unwritten.isEmpty)
        assertTrue(records.flatMap { it.parts }.first { it.chunk == 2 }.full, "the last chunk fits into one record")
        assertFalse(
            records
                .first()
                .parts
                .first()
                .full,
            "the first chunk is split across records",
        )
    }

    @Test
    fun `decodes the parts that it encoded, and reports each unreadable part with its job`() {
        val group = PlannedGroup("m-000001", 3, 4_000_000_000L * 65_536, listOf(192, 193, 200))
        val part = RoundPart("wk-000001", 1, listOf(group), listOf(195, 196), listOf(383))
        val other = RoundPart("wk-000002", 0, emptyList(), listOf(0), emptyList())
        val unreadableJobs = ArrayList<String?>()
        val text = String(RoundCodec.encode(RoundRecord(listOf(part, other))))
        val read = RoundCodec.decode(Json.parseObject(text.toByteArray())!!) { unreadableJobs.add(it.job) }.parts
        assertEquals(listOf(group), read[0].plans)
        assertEquals(listOf(195, 196) to listOf(383), read[0].done to read[0].released)
        assertEquals(listOf("wk-000002"), read.drop(1).map { it.job })
        assertEquals(emptyList<String?>(), unreadableJobs)
        val damaged = text.replace("\"m-000001\"", "7")
        assertEquals(listOf("wk-000002"), RoundCodec.decode(Json.parseObject(damaged.toByteArray())!!) { unreadableJobs.add(it.job) }.parts.map { it.job })
        assertEquals(listOf<String?>("wk-000001"), unreadableJobs)
        RoundCodec.decode(mapOf("parts" to 7L)) { unreadableJobs.add(it.job) }
        assertEquals(listOf("wk-000001", null), unreadableJobs)
    }
}
