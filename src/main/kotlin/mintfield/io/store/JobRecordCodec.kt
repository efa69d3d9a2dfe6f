package mintfield.io.store

import com.fasterxml.jackson.core.JsonGenerator
import mintfield.core.model.AcceptedJob
import mintfield.core.model.JobSpec
import mintfield.core.steps.JobSteps
import mintfield.io.json.Json
import mintfield.io.json.asList
import mintfield.io.json.asMap
import mintfield.io.json.bool
import mintfield.io.json.long
import mintfield.io.worker.JobCodec

/**
 * Codec of the stored record of an accepted job that has not ended: its specification, the time of its acceptance, whether it is
 * cancelled, and the recorded outputs of its first steps (see [JobSteps.recorded]).
 */
object JobRecordCodec {
    private const val INDEPENDENT_SPEC = "spec"

    /**
     * The specification of a job with predecessors. A version without support for predecessors finds no specification and starts
     * nothing; under the name [INDEPENDENT_SPEC] it would start the job at once.
     */
    private const val DEPENDENT_SPEC = "dependent"

    /** The predecessors, in the form of [JobIdSet]. */
    private const val PREDECESSORS = "awaits"

    /** The time at which the job was accepted, in milliseconds since the Unix epoch. */
    private const val ACCEPTED_AT_MS = "at"

    /** Present, and true, only if the job is cancelled. */
    private const val CANCELLED = "withdrawn"

    /** The machine types with capacity for a task of the job, as of its acceptance. */
    private const val COMPATIBLE_TYPES = "fits"

    /** Placeholder for a name that is omitted from a record. */
    private const val OMITTED_NAME = "-"

    /** Encodes [job] as JSON. */
    fun encode(job: AcceptedJob): ByteArray =
        Json.obj {
            val dependent = job.spec.predecessors.isNotEmpty()
            writeFieldName(if (dependent) DEPENDENT_SPEC else INDEPENDENT_SPEC)
            JobCodec.write(this, job.spec.copy(predecessors = emptyList()))
            if (dependent) writePredecessors(this, job.spec.predecessors)
            writeNumberField(ACCEPTED_AT_MS, job.acceptedAtMs)
            if (job.cancelled) writeBooleanField(CANCELLED, true)
            if (JobSteps.COMPATIBLE_TYPES in JobSteps.recorded) {
                writeArrayFieldStart(COMPATIBLE_TYPES)
                job.compatibleTypes.forEach { writeString(it) }
                writeEndArray()
            }
        }

    private fun writePredecessors(
        to: JsonGenerator,
        predecessors: List<String>,
    ) {
        to.writeObjectFieldStart(PREDECESSORS)
        JobIdSet.encode(predecessors).forEach { (group, numbers) -> to.writeStringField(group, numbers) }
        to.writeEndObject()
    }

    /**
     * Encodes [job] as a cancelled job. A job that was accepted under higher limits may have a record of more than [maxBytes]; then the
     * fields that only a start of its tasks needs are omitted, since no task of a cancelled job starts again.
     */
    fun encodeCancelled(
        job: AcceptedJob,
        maxBytes: Int,
    ): ByteArray {
        val whole = encode(job.copy(cancelled = true))
        if (whole.size <= maxBytes) return whole
        val spec = job.spec.copy(jobClass = OMITTED_NAME, image = OMITTED_NAME, types = null, zone = null, predecessors = emptyList())
        return encode(job.copy(spec = spec, cancelled = true, compatibleTypes = emptyList()))
    }

    /**
     * Decodes [data], a record with the [revision] given. [recomputeCompatibleTypes] determines the compatible machine types if the
     * record does not have them.
     */
    fun decode(
        data: Map<String, Any?>,
        revision: Long,
        recomputeCompatibleTypes: (AcceptedJob) -> List<String>,
    ): Decoded<AcceptedJob> =
        decoding {
            val compatibleTypes = data[COMPATIBLE_TYPES].asList()?.filterIsInstance<String>()
            val job =
                AcceptedJob(
                    spec = readSpec(data),
                    revision = revision,
                    acceptedAtMs = data.long(ACCEPTED_AT_MS) ?: 0,
                    cancelled = data.bool(CANCELLED) ?: false,
                    compatibleTypes = compatibleTypes.orEmpty(),
                )
            if (compatibleTypes == null) job.copy(compatibleTypes = recomputeCompatibleTypes(job)) else job
        }

    private fun readSpec(data: Map<String, Any?>): JobSpec {
        val independent = INDEPENDENT_SPEC in data
        val spec =
            when (val parsed = JobCodec.parse(data[INDEPENDENT_SPEC] ?: data[DEPENDENT_SPEC])) {
                is JobCodec.Parsed.Valid -> parsed.spec
                is JobCodec.Parsed.Invalid -> throw InvalidFieldException(if (independent) INDEPENDENT_SPEC else DEPENDENT_SPEC, parsed.reason)
            }
        return if (independent) spec else spec.copy(predecessors = readPredecessors(data))
    }

    /** Unreadable predecessors make the record invalid: a job must not start while its dependencies are unknown. */
    private fun readPredecessors(data: Map<String, Any?>): List<String> {
        val groups = data[PREDECESSORS].asMap().orInvalid(PREDECESSORS, "an object")
        return JobIdSet.decode(groups).valueOrThrow()
    }
}
