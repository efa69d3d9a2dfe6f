package mintfield.golden

import mintfield.app.leader.LeaderTenure
import mintfield.core.LearnedState
import mintfield.core.ScaleOutIntent
import mintfield.core.fleet.ZoneFence
import mintfield.core.jobs.PlannedGroup
import mintfield.core.jobs.RoundPart
import mintfield.core.jobs.RoundRecord
import mintfield.core.model.AcceptedJob
import mintfield.core.model.FinalState
import mintfield.core.model.JobPhase
import mintfield.core.model.Priority
import mintfield.core.ownership.Assignment
import mintfield.core.ownership.AssignmentTable
import mintfield.core.upgrade.Generation
import mintfield.io.json.Json
import mintfield.io.ownership.AssignmentCodec
import mintfield.io.ownership.DrainCodec
import mintfield.io.store.FinalStateCodec
import mintfield.io.store.GenerationCodec
import mintfield.io.store.JobIdSet
import mintfield.io.store.JobRecordCodec
import mintfield.io.store.Keys
import mintfield.io.store.LeaderKeys
import mintfield.io.store.LearnedStateCodec
import mintfield.io.store.RoundCodec
import mintfield.io.store.ScaleOutIntentCodec
import mintfield.io.store.ZoneFenceCodec
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Pins the records in the state store, which earlier and later versions of this program read. */
class StoredRecordsGoldenTest {
    /** Compares with the golden file, and returns the record decoded from it. */
    private fun record(
        name: String,
        found: ByteArray,
    ): Map<String, Any?> = Json.parseObject(GoldenFile.check("stored/$name.json", found))!!

    /** The job decoded from [data], with its predecessors sorted, as they are stored without an order. */
    private fun live(data: Map<String, Any?>): AcceptedJob = sorted(JobRecordCodec.decode(data, GoldenJobs.REVISION) { listOf("recomputed") }.valueOrNull!!)

    private fun sorted(job: AcceptedJob) = job.copy(spec = job.spec.copy(predecessors = job.spec.predecessors.sorted()))

    private fun assertLive(
        name: String,
        job: AcceptedJob,
    ) = assertEquals(sorted(job), live(record(name, JobRecordCodec.encode(job))))

    @Test
    fun `an unfinished job is stored with and without optional fields`() {
        assertLive("live-whole", GoldenJobs.accepted(GoldenJobs.complete))
        assertLive("live-sparse", GoldenJobs.accepted(GoldenJobs.sparse, compatibleTypes = emptyList()))
        assertLive("live-high", GoldenJobs.accepted(GoldenJobs.sparse.copy(priority = Priority.HIGH)))
        assertLive("live-normal", GoldenJobs.accepted(GoldenJobs.sparse.copy(priority = Priority.NORMAL)))
    }

    @Test
    fun `compatible machine types that are not stored are determined again`() {
        val data = Json.parseObject(GoldenFile.bytes("stored/live-without-fits.json"))!!
        assertEquals(GoldenJobs.accepted(GoldenJobs.sparse, compatibleTypes = listOf("recomputed")), live(data))
    }

    @Test
    fun `a dependent job is stored with its predecessors in a field of their own`() {
        assertLive("live-dependent", GoldenJobs.accepted(GoldenJobs.dependent))
    }

    @Test
    fun `a cancelled job is stored complete or, if it is too large, truncated`() {
        val job = GoldenJobs.accepted(GoldenJobs.dependent)
        val data = record("withdrawn", JobRecordCodec.encodeCancelled(job, 8192))
        assertEquals(sorted(job.copy(cancelled = true)), live(data))
        val cut = record("withdrawn-cut", JobRecordCodec.encodeCancelled(job, 400))
        assertEquals(GoldenFile.text("stored/withdrawn-cut.json"), String(JobRecordCodec.encode(live(cut))))
        assertEquals(true to emptyList<String>(), live(cut).let { it.cancelled to it.spec.predecessors })
    }

    @Test
    fun `a set of job ids is stored by prefix and digits`() {
        val ids = listOf("wk-000398", "wk-000405", "wk-000405", "wk-1", "wk-000000", "b-123456789012345678", "b-1234567890123456789")
        val found =
            Json.obj { JobIdSet.encode(ids).forEach { (group, numbers) -> writeStringField(group, numbers) } }
        assertEquals(ids.toSet(), JobIdSet.decode(record("job-ids", found)).valueOrNull!!.toSet())
    }

    @Test
    fun `a final state is stored with and without its time`() {
        val states =
            mapOf(
                "final-done" to FinalState(JobPhase.DONE, 400, 1_700_000_000_456),
                "final-withdrawn" to FinalState(JobPhase.CANCELLED, 0, 1_700_000_000_789),
                "final-without-time" to FinalState(JobPhase.DONE, 3),
            )
        for ((name, state) in states) assertEquals(state, FinalStateCodec.decode(record(name, FinalStateCodec.encode(state))).valueOrNull)
    }

    @Test
    fun `a round is stored with plans, done and released tasks, each of which may be absent`() {
        val plans = listOf(PlannedGroup("m-000001", 3, 4_000_000_000L * 65_536, listOf(192, 193, 194, 200)), PlannedGroup("m-000002", 0, 1, listOf(383)))
        val parts =
            listOf(
                RoundPart("ab-000412", 1, plans, listOf(195, 196), listOf(201, 203)),
                RoundPart("ab-000412", 0, listOf(PlannedGroup("m-000003", 1, 2, listOf(0))), emptyList(), emptyList()),
                RoundPart("c-7", 0, emptyList(), listOf(0, 2, 3), emptyList()),
                RoundPart("c-8", 2, emptyList(), emptyList(), listOf(384)),
            )
        val data = record("round", RoundCodec.encode(RoundRecord(parts)))
        val read = RoundCodec.decode(data) { error("unreadable: $it") }
        assertEquals(parts.map(::fields), read.parts.map(::fields))
        assertTrue(read.keepsReleases)
        assertEquals(0, RoundCodec.decode(record("round-empty", RoundCodec.encode(RoundRecord(emptyList())))) { error("unreadable: $it") }.parts.size)
    }

    @Test
    fun `a round of a version that deleted records of releases is read, and known as such`() {
        val read = RoundCodec.decode(Json.parseObject(GoldenFile.bytes("stored/round-without-version.json"))!!) { error("unreadable: $it") }
        val withVersion = RoundCodec.decode(Json.parseObject(GoldenFile.bytes("stored/round.json"))!!) { error("unreadable: $it") }
        assertEquals(withVersion.parts.map(::fields), read.parts.map(::fields))
        assertFalse(read.keepsReleases)
    }

    private fun fields(part: RoundPart) = listOf(part.job, part.chunk, part.plans, part.done, part.released)

    @Test
    fun `learned state is stored complete, truncated and empty`() {
        val learnedState =
            LearnedState(
                linkedMapOf("flour:7" to 0.125, "oats:1" to 2.0, "unused:1" to 3.0),
                linkedMapOf("m-000001" to listOf("flour:7"), "m-000002" to listOf("flour:7", "oats:1"), "m-000003" to emptyList()),
                linkedMapOf("grind" to -0.25, "bake" to 1.5),
                linkedMapOf("ab-000412" to 3),
            )
        val known = learnedState.copy(imageGb = learnedState.imageGb - "unused:1")
        assertEquals(known, LearnedStateCodec.decode(record("hints", LearnedStateCodec.encode(learnedState, 8192))))
        record("hints-cut", LearnedStateCodec.encode(learnedState, 130))
        val none = LearnedState(emptyMap(), emptyMap(), emptyMap())
        assertEquals(none, LearnedStateCodec.decode(record("hints-empty", LearnedStateCodec.encode(none, 8192))))
    }

    @Test
    fun `zone fences and scale-out intents are stored`() {
        val zoneFences = record("disowned", ZoneFenceCodec.encode(ZoneFence("north-1", listOf("m-000001", "m-000002"), 1_700_000_000_000)))
        assertArrayEquals(GoldenFile.bytes("stored/disowned.json"), ZoneFenceCodec.encode(ZoneFenceCodec.decode("north-1", zoneFences).valueOrNull!!))
        val spot = ScaleOutIntent("plea-1", "box", "north", true, 12)
        assertEquals(spot, ScaleOutIntentCodec.decode("plea-1", record("intent", ScaleOutIntentCodec.encode(spot))))
        val onDemand = ScaleOutIntent("plea-2", "barrel", "south", false, 1)
        assertEquals(onDemand, ScaleOutIntentCodec.decode("plea-2", record("intent-lasting", ScaleOutIntentCodec.encode(onDemand))))
    }

    @Test
    fun `assignments are stored in each state, with and without trace context`() {
        val assignments =
            linkedMapOf(
                "m-000001" to Assignment.Owned("s0"),
                "m-000002" to Assignment.Releasing("s0", "s1"),
                "m-000003" to Assignment.Releasing("s0", "s1", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"),
                "m-000004" to Assignment.Offered("s1", "s0"),
                "m-000005" to Assignment.Offered("s1", "s2", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203332-00"),
            )
        assertEquals(assignments, AssignmentCodec.parse(record("assignments", AssignmentCodec.write(assignments))))
        assertEquals(emptyMap<String, Assignment>(), AssignmentCodec.parse(record("assignments-empty", AssignmentCodec.write(emptyMap()))))
        val traced = (1..18).associate { "m-%06d".format(it) to Assignment.Releasing("s0", "s1", "00-%032x-%016x-01".format(it, it)) }
        record("assignments-most-traced", AssignmentCodec.write(traced))
    }

    @Test
    fun `the block of a machine's assignment is stable`() {
        val machines = listOf("m-000000", "m-000001", "m-000417", "m-099999", "m-1", "plot-7", "a", "machine-with-a-long-name-0123456789", "é")
        GoldenFile.check("stored/assignment-blocks.txt", machines.joinToString("") { "$it ${AssignmentTable.blockOf(it)}\n" }.toByteArray())
    }

    @Test
    fun `drained controllers are stored sorted`() {
        assertEquals(setOf("plot-0", "plot-2"), DrainCodec.parse(record("drained", DrainCodec.write(setOf("plot-2", "plot-0")))))
        assertEquals(emptySet<String>(), DrainCodec.parse(record("drained-none", DrainCodec.write(emptySet()))))
    }

    @Test
    fun `a controller's generation and the value of the leader key are stored`() {
        val data = record("generation", GenerationCodec.encode(Generation.CURRENT))
        assertEquals(Generation.CURRENT.toLong(), GenerationCodec.decode(data).valueOrNull)
        record("generation-first", GenerationCodec.encode(Generation.FIRST))
        record("leader", LeaderTenure.leaderValue("plot-0", "n-123"))
    }

    @Test
    fun `keys of records are stable`() {
        val common =
            listOf(Keys.JOBS, Keys.LIVE, Keys.FINAL, Keys.ASSIGNMENTS, Keys.DRAINED, Keys.GENERATIONS) +
                listOf(Keys.generation("plot-0"), Keys.live("ab-1"), Keys.final("ab-1"), Keys.assignments(0), Keys.assignments(12))
        val leaders =
            listOf(LeaderKeys(), LeaderKeys("s0")).flatMap {
                listOf(
                    it.leader,
                    it.rounds,
                    it.intents,
                    it.zoneFences,
                    it.learnedState,
                    it.round("3-4"),
                    it.intent("plea-1"),
                    it.learnedState(0),
                    it.learnedState(2),
                )
            }
        GoldenFile.check("stored/keys.txt", (common + leaders).joinToString("") { it + "\n" }.toByteArray())
    }
}
