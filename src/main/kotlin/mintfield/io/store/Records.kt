package mintfield.io.store

import com.fasterxml.jackson.core.JsonGenerator
import mintfield.core.LearnedState
import mintfield.core.ScaleOutIntent
import mintfield.core.fleet.ZoneFence
import mintfield.core.jobs.PlannedGroup
import mintfield.core.jobs.RoundPart
import mintfield.core.jobs.RoundRecord
import mintfield.core.jobs.TaskChunks
import mintfield.core.model.AcceptedJob
import mintfield.core.model.FinalState
import mintfield.core.model.JobPhase
import mintfield.core.steps.JobSteps
import mintfield.io.json.Json
import mintfield.io.json.asList
import mintfield.io.json.asMap
import mintfield.io.json.bool
import mintfield.io.json.long
import mintfield.io.json.string
import mintfield.io.worker.JobCodec
import mintfield.io.worker.JobPhaseCodec

/**
 * How recorded outputs are written. Which steps have a part in a record is asked of the recording rule: an output that
 * the rule does not want is left out, and computed anew by a replay.
 */
object Records {
    /** The field of a controller's generation. */
    const val GENERATION = "generation"

    private const val INDEPENDENT_SPEC = "spec"

    /**
     * The field of a specification with predecessors. A version that does not know of predecessors finds no specification and
     * starts nothing; by the usual name it would start the job at once.
     */
    private const val DEPENDENT_SPEC = "dependent"

    /** The field of the jobs that a job depends on, as [JobIdSet] writes them. */
    private const val PREDECESSORS = "awaits"

    /** Stands for a name that was left out of a record. */
    private const val LEFT_OUT = "-"

    private val FINAL_STAGES = setOf(JobPhase.DONE, JobPhase.CANCELLED)

    fun live(job: AcceptedJob): ByteArray =
        Json.obj {
            writeFieldName(if (job.spec.predecessors.isEmpty()) INDEPENDENT_SPEC else DEPENDENT_SPEC)
            JobCodec.write(this, job.spec.copy(predecessors = emptyList()))
            if (job.spec.predecessors.isNotEmpty()) {
                writeObjectFieldStart(PREDECESSORS)
                JobIdSet.encode(job.spec.predecessors).forEach { (group, numbers) -> writeStringField(group, numbers) }
                writeEndObject()
            }
            writeNumberField("at", job.acceptedAtMs)
            if (job.cancelled) writeBooleanField("withdrawn", true)
            if (JobSteps.COMPATIBLE_TYPES in JobSteps.recorded) {
                writeArrayFieldStart("fits")
                job.compatibleTypes.forEach { writeString(it) }
                writeEndArray()
            }
        }

    fun generation(generation: Int): ByteArray = Json.obj { writeNumberField(GENERATION, generation) }

    /**
     * The record of a job that is now cancelled. One that was written under higher limits may be larger than [maxBytes]; then what
     * only a start of its tasks needs is left out, as they never start again.
     */
    fun cancelled(
        job: AcceptedJob,
        maxBytes: Int,
    ): ByteArray {
        val whole = live(job.copy(cancelled = true))
        if (whole.size <= maxBytes) return whole
        val spec = job.spec.copy(jobClass = LEFT_OUT, image = LEFT_OUT, types = null, zone = null, predecessors = emptyList())
        return live(job.copy(spec = spec, cancelled = true, compatibleTypes = emptyList()))
    }

    fun parseLive(
        data: Map<String, Any?>,
        revision: Long,
        recomputeCompatibleTypes: (AcceptedJob) -> List<String>,
    ): AcceptedJob? {
        val described = (JobCodec.parse(data[INDEPENDENT_SPEC] ?: data[DEPENDENT_SPEC]) as? JobCodec.Parsed.Valid)?.spec ?: return null
        val spec = if (INDEPENDENT_SPEC in data) described else described.copy(predecessors = parsePredecessors(data) ?: return null)
        val compatibleTypes = data["fits"].asList()?.filterIsInstance<String>()
        val job = AcceptedJob(spec, revision, data.long("at") ?: 0, data.bool("withdrawn") ?: false, compatibleTypes ?: emptyList())
        return if (compatibleTypes == null) job.copy(compatibleTypes = recomputeCompatibleTypes(job)) else job
    }

    /** Null if they cannot be read: a job of which it is not known what it waits for must not start. */
    private fun parsePredecessors(data: Map<String, Any?>): List<String>? = data[PREDECESSORS].asMap()?.let(JobIdSet::decode)

    fun final(state: FinalState): ByteArray =
        Json.obj {
            writeStringField("stage", JobPhaseCodec.write(state.stage))
            writeNumberField("tasks", state.tasks)
            if (state.endedAtMs > 0) writeNumberField("at", state.endedAtMs)
        }

    /** Null if it cannot be read: what is not known to be cancelled is not called so. */
    fun parseFinal(data: Map<String, Any?>): FinalState? {
        val stage = JobPhaseCodec.parse(data.string("stage"))?.takeIf { it in FINAL_STAGES } ?: return null
        return FinalState(stage, data.long("tasks")?.toInt() ?: 0, data.long("at") ?: 0)
    }

    private fun plans(
        to: JsonGenerator,
        plans: List<PlannedGroup>,
        chunk: Int,
    ) = with(to) {
        writeArrayFieldStart("plan")
        for (g in plans) {
            writeStartArray()
            writeString(g.machine)
            writeNumber(g.incarnation)
            writeNumber(g.attempt)
            writeString(TaskChunks.ranges(g.indices, chunk * TaskChunks.TASKS))
            writeEndArray()
        }
        writeEndArray()
    }

    /** One round: the outputs of the plan and done-set steps of every job that it touched, keyed by job and shard. */
    fun round(record: RoundRecord): ByteArray =
        Json.obj {
            writeArrayFieldStart("parts")
            for (part in record.parts) {
                val base = part.chunk * TaskChunks.TASKS
                writeStartObject()
                writeStringField("job", part.job)
                writeNumberField("shard", part.chunk)
                if (JobSteps.PLAN in JobSteps.recorded && part.plans.isNotEmpty()) plans(this, part.plans, part.chunk)
                if (JobSteps.DONE_SET in JobSteps.recorded && part.done.isNotEmpty()) writeStringField("done", TaskChunks.ranges(part.done, base))
                if (part.released.isNotEmpty()) writeStringField("free", TaskChunks.ranges(part.released, base))
                writeEndObject()
            }
            writeEndArray()
        }

    /** What a round record says; [unreadable] is told of jobs of which something cannot be read, null if it is not known of which. */
    fun parseRound(
        data: Map<String, Any?>,
        unreadable: (String?) -> Unit,
    ): RoundRecord {
        val list = data["parts"].asList()
        if (list == null) unreadable(null)
        return RoundRecord(
            list.orEmpty().mapNotNull { item ->
                val part = item.asMap()
                try {
                    parsePart(requireNotNull(part) { "not an object" })
                } catch (_: RuntimeException) {
                    unreadable(part?.string("job"))
                    null
                }
            },
        )
    }

    private fun parsePart(part: Map<String, Any?>): RoundPart {
        val chunk = requireNotNull(part.long("shard")) { "no shard" }.toInt()
        val base = chunk * TaskChunks.TASKS

        fun ranges(field: String) = if (field in part) TaskChunks.parseRanges(requireNotNull(part.string(field)), base) else emptyList()
        val plans = if ("plan" in part) parsePlans(part["plan"], chunk) else emptyList()
        return RoundPart(requireNotNull(part.string("job")) { "no job" }, chunk, plans, ranges("done"), ranges("free"))
    }

    /** A part read in part would be a plan forgotten, and its tasks started twice: all of it, or an error. */
    private fun parsePlans(
        plans: Any?,
        chunk: Int,
    ): List<PlannedGroup> =
        requireNotNull(plans.asList()) { "no plan" }.map { item ->
            val g = requireNotNull(item.asList()?.takeIf { it.size == 4 }) { "a group of ${item.asList()?.size} fields" }
            PlannedGroup(
                requireNotNull(g[0] as? String) { "no machine" },
                requireNotNull(Json.asLong(g[1])) { "no season" },
                requireNotNull(Json.asLong(g[2])) { "no attempt" },
                TaskChunks.parseRanges(requireNotNull(g[3] as? String) { "no tasks" }, chunk * TaskChunks.TASKS),
            )
        }

    /** Cut to what [maxBytes] allows: the machines that come last are left out, then classes and jobs. */
    fun learnedState(
        learnedState: LearnedState,
        maxBytes: Int,
    ): ByteArray {
        var machines = learnedState.machineImages.entries.toList()
        var classes = learnedState.logRatio.entries.toList()
        var suspectJobs = learnedState.suspectJobs.entries.toList()
        while (true) {
            val bytes =
                Json.obj {
                    writeObjectFieldStart("ratio")
                    classes.forEach { (k, v) -> writeNumberField(k, v) }
                    writeEndObject()
                    writeObjectFieldStart("gb")
                    val named = machines.flatMapTo(HashSet()) { it.value }
                    learnedState.imageGb.forEach { (k, v) -> if (k in named) writeNumberField(k, v) }
                    writeEndObject()
                    writeObjectFieldStart("doubted")
                    suspectJobs.forEach { (k, v) -> writeNumberField(k, v) }
                    writeEndObject()
                    writeObjectFieldStart("machines")
                    for ((id, images) in machines) {
                        writeArrayFieldStart(id)
                        images.forEach { writeString(it) }
                        writeEndArray()
                    }
                    writeEndObject()
                }
            if (bytes.size <= maxBytes) return bytes
            if (machines.isEmpty()) {
                check(classes.isNotEmpty() || suspectJobs.isNotEmpty()) { "a value of $maxBytes bytes holds no hints at all" }
                classes = classes.take(classes.size / 2)
                suspectJobs = suspectJobs.take(suspectJobs.size / 2)
            }
            machines = machines.take(machines.size * 3 / 4)
        }
    }

    fun parseLearnedState(data: Map<String, Any?>): LearnedState {
        fun numbers(field: String) =
            data[field]
                .asMap()
                .orEmpty()
                .mapNotNull { (k, v) -> Json.asDouble(v)?.let { k to it } }
                .toMap()
        val machines =
            data["machines"].asMap().orEmpty().mapValues {
                it.value
                    .asList()
                    .orEmpty()
                    .filterIsInstance<String>()
            }
        return LearnedState(numbers("gb"), machines, numbers("ratio"), numbers("doubted").mapValues { it.value.toInt() })
    }

    fun zoneFences(record: ZoneFence): ByteArray =
        Json.obj {
            writeNumberField("since", record.sinceWallMs)
            writeArrayFieldStart("machines")
            record.machines.forEach { writeString(it) }
            writeEndArray()
        }

    /** Null if it cannot be read. */
    fun parseZoneFence(
        key: String,
        data: Map<String, Any?>,
    ): ZoneFence? {
        val machines = data["machines"].asList() ?: return null
        return ZoneFence(key, machines.map { it as? String ?: return null }, data.long("since") ?: return null)
    }

    fun intent(i: ScaleOutIntent): ByteArray =
        Json.obj {
            writeStringField("type", i.type)
            writeStringField("zone", i.zone)
            writeBooleanField("spot", i.spot)
            writeNumberField("number", i.number)
        }

    fun parseIntent(
        idempotencyKey: String,
        data: Map<String, Any?>,
    ) = ScaleOutIntent(
        idempotencyKey,
        data.string("type") ?: "",
        data.string("zone") ?: "",
        data.bool("spot") ?: false,
        data.long("number")?.toInt() ?: 1,
    )
}
