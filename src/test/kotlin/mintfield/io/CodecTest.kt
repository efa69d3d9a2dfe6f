package mintfield.io

import mintfield.Fixtures
import mintfield.core.Cluster
import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job
import mintfield.core.jobs.PlannedGroup
import mintfield.core.jobs.RoundPacker
import mintfield.core.jobs.RoundPart
import mintfield.core.jobs.RoundRecord
import mintfield.core.leadership.LeaseClock
import mintfield.io.json.Json
import mintfield.io.store.Records
import mintfield.io.worker.JobCodec
import mintfield.io.worker.WorkerCodec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertSame
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class CodecTest {
    @Test
    fun `a job survives its record`() {
        val job = Fixtures.accepted(Fixtures.spec("wk-000001", tasks = 7, zone = "north", deadlineS = 90.0), 5, 1_234)
        assertEquals(job, Records.parseLive(Json.parseObject(Records.live(job))!!, 5) { emptyList() })
    }

    @Test
    fun `a shard with every task on a machine of its own is told in values that fit`() {
        val cluster = Cluster(Fixtures.settings, 40_000) {}
        val job = Job(Fixtures.accepted(Fixtures.spec("wk-000001", tasks = 400), 2))
        for (i in 0 until 400) {
            val m = Machine("m-%06d".format(i), Fixtures.box, "north", false)
            cluster.occupy(job, i, 40_000L * 65_536 + i, m, 12)
        }
        val records = RoundPacker.take(listOf(job), 7_300, 9, 9)
        assertTrue(records.size > 1 && records.all { Records.round(it).size <= 8 * 1024 }, "${records.map { Records.round(it).size }}")
        assertEquals((0 until 400).toList(), records.flatMap { it.parts }.flatMap { it.indices }.sorted())
        assertTrue(job.progress.unwritten.isEmpty)
        assertTrue(records.flatMap { it.parts }.first { it.chunk == 2 }.full, "the last shard fits whole")
        assertFalse(
            records
                .first()
                .parts
                .first()
                .full,
            "the first had to be cut",
        )
    }

    @Test
    fun `a round is read as it was written, and what cannot be read is told, job by job`() {
        val group = PlannedGroup("m-000001", 3, 4_000_000_000L * 65_536, listOf(192, 193, 200))
        val part = RoundPart("wk-000001", 1, listOf(group), listOf(195, 196), listOf(383))
        val other = RoundPart("wk-000002", 0, emptyList(), listOf(0), emptyList())
        val told = ArrayList<String?>()
        val text = String(Records.round(RoundRecord(listOf(part, other))))
        val read = Records.parseRound(Json.parseObject(text.toByteArray())!!) { told.add(it) }.parts
        assertEquals(listOf(group), read[0].plans)
        assertEquals(listOf(195, 196) to listOf(383), read[0].done to read[0].released)
        assertEquals(listOf("wk-000002"), read.drop(1).map { it.job })
        assertEquals(emptyList<String?>(), told)
        val torn = text.replace("\"m-000001\"", "7")
        assertEquals(listOf("wk-000002"), Records.parseRound(Json.parseObject(torn.toByteArray())!!) { told.add(it) }.parts.map { it.job })
        assertEquals(listOf<String?>("wk-000001"), told)
        Records.parseRound(mapOf("parts" to 7L)) { told.add(it) }
        assertEquals(listOf("wk-000001", null), told)
    }

    @Test
    fun `the same tasks again are not read again, and whatever follows them is`() {
        val reader = WorkerCodec.Reader(100)

        fun heartbeat(
            sequence: Int,
            tasks: String,
            more: String = "",
        ) = reader.heartbeat("""{"plot":"m-1","season":1,"tally":$sequence,"pieces":[$tasks]$more}""".toByteArray())!!
        val task = """{"piece":"wk-1/0","sowing":2,"stage":"running"}"""
        val first = heartbeat(1, task)
        assertSame(first.tasks, heartbeat(2, task).tasks)
        assertEquals(3L, heartbeat(3, task).sequence)
        assertEquals(0, heartbeat(4, "").tasks.size)
        val noticed = heartbeat(5, task, ""","staff":9,"reclaimS":4.5""")
        assertEquals(4.5, noticed.terminationNoticeS)
        assertEquals(9L, noticed.termSeen)
        assertEquals(first.tasks, noticed.tasks)
        assertEquals(null, heartbeat(6, task).terminationNoticeS)
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
