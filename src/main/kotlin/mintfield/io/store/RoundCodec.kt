package mintfield.io.store

import com.fasterxml.jackson.core.JsonGenerator
import mintfield.core.jobs.PlannedGroup
import mintfield.core.jobs.RoundPart
import mintfield.core.jobs.RoundRecord
import mintfield.core.jobs.TaskChunks
import mintfield.core.steps.JobSteps
import mintfield.io.json.Json
import mintfield.io.json.asList
import mintfield.io.json.asMap
import mintfield.io.json.long
import mintfield.io.json.string

/**
 * Codec of the stored record of a scheduling round: the recorded outputs of the plan and done-set steps for every chunk of every job
 * that the round changed. Task numbers are encoded as ranges relative to their chunk (see [TaskChunks]).
 */
object RoundCodec {
    private const val VERSION = "v"
    private const val PARTS = "parts"
    private const val JOB = "job"
    private const val CHUNK = "shard"
    private const val PLANS = "plan"
    private const val DONE = "done"
    private const val RELEASED = "free"

    /** The version of records whose writers keep the records of releases ([RoundRecord.keepsReleases]); earlier ones have no version. */
    private const val RELEASES_KEPT_VERSION = 2

    /** Number of elements of the array that represents a planned group. The GROUP_ constants are the positions of its elements. */
    private const val GROUP_SIZE = 4
    private const val GROUP_MACHINE = 0
    private const val GROUP_INCARNATION = 1
    private const val GROUP_ATTEMPT = 2
    private const val GROUP_TASKS = 3

    /** A part of a round record that cannot be read. */
    data class UnreadablePart(
        /** The id of its job; null if the id cannot be read either. */
        val job: String?,
        /** The reason why it cannot be read. */
        val problem: String,
    )

    /** Encodes [record] as JSON. */
    fun encode(record: RoundRecord): ByteArray =
        Json.obj {
            if (record.keepsReleases) writeNumberField(VERSION, RELEASES_KEPT_VERSION)
            writeArrayFieldStart(PARTS)
            record.parts.forEach { writePart(this, it) }
            writeEndArray()
        }

    private fun writePart(
        to: JsonGenerator,
        part: RoundPart,
    ) = with(to) {
        val base = part.chunk * TaskChunks.TASKS_PER_CHUNK
        writeStartObject()
        writeStringField(JOB, part.job)
        writeNumberField(CHUNK, part.chunk)
        if (JobSteps.PLAN in JobSteps.recorded && part.plans.isNotEmpty()) writePlans(this, part.plans, base)
        if (JobSteps.DONE_SET in JobSteps.recorded && part.done.isNotEmpty()) writeStringField(DONE, TaskChunks.ranges(part.done, base))
        if (part.released.isNotEmpty()) writeStringField(RELEASED, TaskChunks.ranges(part.released, base))
        writeEndObject()
    }

    private fun writePlans(
        to: JsonGenerator,
        plans: List<PlannedGroup>,
        base: Int,
    ) = with(to) {
        writeArrayFieldStart(PLANS)
        for (group in plans) {
            writeStartArray()
            writeString(group.machine)
            writeNumber(group.incarnation)
            writeNumber(group.attempt)
            writeString(TaskChunks.ranges(group.indices, base))
            writeEndArray()
        }
        writeEndArray()
    }

    /** Decodes the readable parts of the round in [data]. Each unreadable part is passed to [onUnreadable], in the order of the record. */
    fun decode(
        data: Map<String, Any?>,
        onUnreadable: (UnreadablePart) -> Unit,
    ): RoundRecord {
        val parts = data[PARTS].asList()
        if (parts == null) onUnreadable(UnreadablePart(job = null, "$PARTS: expected a list"))
        val version = data.long(VERSION) ?: 0
        return RoundRecord(parts.orEmpty().mapNotNull { readPart(it.asMap(), onUnreadable) }, keepsReleases = version >= RELEASES_KEPT_VERSION)
    }

    private fun readPart(
        data: Map<String, Any?>?,
        onUnreadable: (UnreadablePart) -> Unit,
    ): RoundPart? =
        try {
            readPart(data.orInvalid(PARTS, "objects"))
        } catch (expected: RuntimeException) {
            // A malformed task range can cause several kinds of exceptions. None of them may keep a leader from replaying the other parts.
            onUnreadable(UnreadablePart(data?.string(JOB), expected.message ?: "unreadable"))
            null
        }

    private fun readPart(data: Map<String, Any?>): RoundPart {
        val chunk = data.long(CHUNK).orInvalid(CHUNK, "a number").toInt()
        val base = chunk * TaskChunks.TASKS_PER_CHUNK
        return RoundPart(
            job = data.string(JOB).orInvalid(JOB, "a job id"),
            chunk = chunk,
            plans = if (PLANS in data) readPlans(data[PLANS], base) else emptyList(),
            done = readRanges(data, DONE, base),
            released = readRanges(data, RELEASED, base),
        )
    }

    private fun readRanges(
        data: Map<String, Any?>,
        field: String,
        base: Int,
    ): List<Int> = if (field in data) TaskChunks.parseRanges(data.string(field).orInvalid(field, "ranges of tasks"), base) else emptyList()

    /** Reads all plans or fails: the tasks of a skipped plan would be started a second time. */
    private fun readPlans(
        plans: Any?,
        base: Int,
    ): List<PlannedGroup> = plans.asList().orInvalid(PLANS, "a list").map { readGroup(it.asList(), base) }

    private fun readGroup(
        fields: List<Any?>?,
        base: Int,
    ): PlannedGroup {
        val group = fields?.takeIf { it.size == GROUP_SIZE }.orInvalid(PLANS, "groups of $GROUP_SIZE elements")
        val tasks = (group[GROUP_TASKS] as? String).orInvalid(PLANS, "ranges of tasks as element $GROUP_TASKS")
        return PlannedGroup(
            machine = (group[GROUP_MACHINE] as? String).orInvalid(PLANS, "a machine as element $GROUP_MACHINE"),
            incarnation = Json.asLong(group[GROUP_INCARNATION]).orInvalid(PLANS, "an incarnation as element $GROUP_INCARNATION"),
            attempt = Json.asLong(group[GROUP_ATTEMPT]).orInvalid(PLANS, "an attempt as element $GROUP_ATTEMPT"),
            indices = TaskChunks.parseRanges(tasks, base),
        )
    }
}
