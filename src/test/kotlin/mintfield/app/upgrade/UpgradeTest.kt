package mintfield.app.upgrade

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.protobuf.ProtoBuf
import mintfield.Fixtures
import mintfield.core.Cluster
import mintfield.core.LearnedState
import mintfield.core.LearnedStateBlocks
import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job
import mintfield.core.jobs.RoundPacker
import mintfield.core.model.FinalState
import mintfield.core.model.JobPhase
import mintfield.core.model.StateLimits
import mintfield.core.model.StateLimitsInForce
import mintfield.core.upgrade.ControllerVersions
import mintfield.core.upgrade.Generation
import mintfield.io.json.Json
import mintfield.io.peer.PeerStatus
import mintfield.io.store.FinalStateCodec
import mintfield.io.store.JobRecordCodec
import mintfield.io.store.LearnedStateCodec
import mintfield.io.store.RoundCodec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Compatibility of records and messages between two versions of the program, and the announced lower limits of the store. */
@OptIn(ExperimentalSerializationApi::class)
class UpgradeTest {
    private val lowerLimits = StateLimits(writeRps = 15.0, valueKb = 2.0, txnOps = 5)

    private fun tree(json: ByteArray) = Json.parseObject(json)!!

    @Test
    fun `records of the earlier version are read`() {
        val live =
            """{"spec":{"id":"wk-000412","bench":"slice","crew":"floor","shape":"sweep","urgency":"normal","pieces":16,"vcpus":8.0,"cards":1.0,
            "memoryGb":64.0,"seedbag":"img-07","sizeGb":6.2,"breeds":["g8"],"samePlace":true,"spread":false,"gleaning":true,"growS":240.0,
            "harvestS":30.0,"baleS":4.0,"dueS":900.0},"at":1234,"withdrawn":true,"fits":["g8"]}"""
        val job = JobRecordCodec.decode(tree(live.toByteArray()), 7) { emptyList() }.valueOrNull!!
        assertEquals(listOf("wk-000412", 16, emptyList<String>()), listOf(job.spec.id, job.spec.tasks, job.spec.predecessors))
        assertTrue(job.cancelled)
        assertEquals(FinalState(JobPhase.DONE, 3), FinalStateCodec.decode(tree("""{"stage":"done","tasks":3}""".toByteArray())).valueOrNull)
        assertEquals(
            listOf("m-1"),
            LearnedStateCodec
                .decode(tree("""{"gb":{"i":1.0},"machines":{"m-1":["i"]}}""".toByteArray()))
                .machineImages.keys
                .toList(),
        )
    }

    @Test
    fun `a job without predecessors is recorded in the format of the earlier version`() {
        val job = Fixtures.accepted(Fixtures.spec("wk-1"), 5, 1_234)
        assertEquals(setOf("spec", "at", "fits"), tree(JobRecordCodec.encode(job)).keys)
        assertFalse("awaits" in String(JobRecordCodec.encode(job)))
    }

    @Test
    fun `the record of a dependent job has no specification for the earlier version, which therefore starts none of its tasks`() {
        val job = Fixtures.accepted(Fixtures.spec("wk-3").copy(predecessors = listOf("wk-1", "wk-2")), 5, 1_234)
        val record = tree(JobRecordCodec.encode(job))
        assertFalse("spec" in record)
        assertEquals(job, JobRecordCodec.decode(record, 5) { emptyList() }.valueOrNull)
    }

    @Test
    fun `hundreds of predecessors fit in a value of the lower limits, whatever their ids`() {
        val ids = (1..PREDECESSORS).map { "wk-%06d".format((it * 7_919L) % 1_000_000) } + listOf("wk-1", "a-0123456789012345678901", "z-000000000000000001")
        val job = Fixtures.accepted(Fixtures.spec("wk-000000").copy(predecessors = ids), 5, 1_234)
        val record = JobRecordCodec.encode(job)
        assertTrue(record.size <= lowerLimits.valueBytes, "${record.size} bytes")
        val read = JobRecordCodec.decode(tree(record), 5) { emptyList() }.valueOrNull!!
        assertEquals(ids.toSet(), read.spec.predecessors.toSet())
        assertEquals(ids.size, read.spec.predecessors.size)
        val corrupt = tree(String(record).replace("\"wk-6\":\"", "\"wk-6\":\"?").toByteArray())
        assertEquals(null, JobRecordCodec.decode(corrupt, 5) { emptyList() }.valueOrNull)
    }

    @Test
    fun `a peer status of the earlier version has the first generation`() {
        val earlier = ProtoBuf.encodeToByteArray(PeerStatus.serializer(), PeerStatus("plot-1", true, false))
        assertEquals(Generation.FIRST, ProtoBuf.decodeFromByteArray(PeerStatus.serializer(), earlier).generation)
    }

    @Test
    fun `a generation is lacking until all controllers have recorded it and none announces an earlier one`() {
        val versions = ControllerVersions(listOf("plot-1", "plot-2"))
        versions.recorded("plot-1", Generation.CURRENT)
        assertEquals(listOf("plot-2"), versions.peersBelow(Generation.CURRENT))
        versions.recorded("plot-2", Generation.CURRENT)
        assertEquals(emptyList<String>(), versions.peersBelow(Generation.CURRENT))
        versions.announced("plot-1", Generation.FIRST)
        assertEquals(listOf("plot-1"), versions.peersBelow(Generation.CURRENT), "plot-1 was downgraded")
        versions.announced("plot-1", Generation.CURRENT)
        assertEquals(emptyList<String>(), versions.peersBelow(Generation.CURRENT))
    }

    @Test
    fun `the first refusal because of the size lowers the limits, and a refusal under the lower limits is an error`() {
        val limits = StateLimitsInForce(Fixtures.settings.copy(nextStateLimits = lowerLimits))
        val before = limits.current
        assertTrue(limits.recordMalformed(before))
        assertEquals(lowerLimits, limits.current)
        assertTrue(limits.recordMalformed(before), "the request was sent before the limits were lowered")
        assertFalse(limits.recordMalformed(lowerLimits))
        val unchanging = StateLimitsInForce(Fixtures.settings)
        assertFalse(unchanging.recordMalformed(unchanging.current))
    }

    @Test
    fun `rounds and learned state fit in values of the lower limits`() {
        val cluster = Cluster(Fixtures.settings, 40_000) {}
        val job = Job(Fixtures.accepted(Fixtures.spec("wk-000001", tasks = 400), 2))
        for (i in 0 until 400) cluster.occupy(job, i, 40_000L * 65_536 + i, Machine("m-%06d".format(i), Fixtures.box, "north", false), 12)
        val records = RoundPacker.pack(listOf(job), RoundPacker.Limits((lowerLimits.valueBytes * 0.9).toInt(), maxRecords = 99, maxJobs = 14))
        assertEquals(emptyList<Int>(), records.map { RoundCodec.encode(it).size }.filter { it > lowerLimits.valueBytes })
        assertEquals((0 until 400).toList(), records.flatMap { it.parts }.flatMap { it.indices }.sorted())
        val classes = (1..200).associate { "class-of-jobs-number-$it" to 0.5 }
        val learnedState = LearnedState(emptyMap(), emptyMap(), classes, (1..200).associate { "wk-%06d".format(it) to 3 })
        for (block in LearnedStateBlocks.pack(learnedState, lowerLimits.valueBytes)) {
            assertTrue(
                LearnedStateCodec.encode(block, lowerLimits.valueBytes).size <= lowerLimits.valueBytes,
            )
        }
    }

    @Test
    fun `a record larger than the lower limits shrinks when its job is cancelled`() {
        val name = "ñ".repeat(200)
        val spec = Fixtures.spec("wk-1", tasks = 9, image = name).copy(jobClass = name, types = List(80) { "$it-$name" })
        val job = Fixtures.accepted(spec, 5).copy(compatibleTypes = List(80) { "$it-$name" })
        assertTrue(JobRecordCodec.encode(job).size > lowerLimits.valueBytes)
        val cancelled = JobRecordCodec.encodeCancelled(job, lowerLimits.valueBytes)
        assertTrue(cancelled.size <= lowerLimits.valueBytes)
        val read = JobRecordCodec.decode(tree(cancelled), 6) { emptyList() }.valueOrNull!!
        assertEquals(listOf(true, 9, spec.team, spec.cpus), listOf(read.cancelled, read.spec.tasks, read.spec.team, read.spec.cpus))
        val small = Fixtures.accepted(Fixtures.spec("wk-2"), 5)
        assertEquals(
            small.copy(cancelled = true),
            JobRecordCodec.decode(tree(JobRecordCodec.encodeCancelled(small, lowerLimits.valueBytes)), 5) { emptyList() }.valueOrNull,
        )
    }

    private companion object {
        /** Number of predecessors in one value of the lower limits. */
        const val PREDECESSORS = 300
    }
}
