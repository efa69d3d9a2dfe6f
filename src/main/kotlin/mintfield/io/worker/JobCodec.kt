package mintfield.io.worker

import com.fasterxml.jackson.core.JsonGenerator
import mintfield.core.model.JobSpec
import mintfield.core.model.Priority
import mintfield.core.model.Shape
import mintfield.io.json.asMap

/** Codec of job specifications, for submissions of users and stored job records. */
object JobCodec {
    /** The result of parsing a job specification. */
    sealed interface Parsed {
        /** A complete specification with permitted values. */
        data class Valid(
            val spec: JobSpec,
        ) : Parsed

        /** Not a valid specification. The [reason] names the invalid field. */
        data class Invalid(
            /** The job's id; null if it is invalid too. With it, a job that is already known is recognized even if other fields are invalid. */
            val id: String?,
            val reason: String,
        ) : Parsed
    }

    private const val MAX_ID_LENGTH = 64

    /** Whether [text] has the form of a job id: letters, a dash and digits, as in `wk-000412`. */
    fun isId(text: String): Boolean {
        val dash = text.indexOf('-')
        return dash in 1 until text.length - 1 &&
            text.length <= MAX_ID_LENGTH &&
            text.substring(0, dash).all { it in 'a'..'z' } &&
            text.substring(dash + 1).all { it in '0'..'9' }
    }

    /** Parses the specification in [tree], a result of [mintfield.io.json.Json.parse]. */
    fun parse(tree: Any?): Parsed {
        val fields = tree.asMap() ?: return Parsed.Invalid(null, "the body is not a JSON object")
        val id = (fields[JobFields.ID] as? String)?.takeIf { isId(it) } ?: return Parsed.Invalid(null, "id: expected a job id such as wk-000412")
        return try {
            Parsed.Valid(JobSpecReader(fields).read(id))
        } catch (invalid: InvalidJobException) {
            Parsed.Invalid(id, invalid.reason)
        }
    }

    /** Writes [spec] as a JSON object. */
    fun write(
        to: JsonGenerator,
        spec: JobSpec,
    ) = with(to) {
        writeStartObject()
        writeStringField(JobFields.ID, spec.id)
        writeStringField(JobFields.JOB_CLASS, spec.jobClass)
        writeStringField(JobFields.TEAM, spec.team)
        writeStringField(JobFields.SHAPE, JobFields.SHAPES.wordFor(spec.shape))
        writeStringField(JobFields.PRIORITY, JobFields.PRIORITIES.wordFor(spec.priority))
        writeNumberField(JobFields.TASKS, spec.tasks)
        writeNumberField(JobFields.CPUS, spec.cpus)
        writeNumberField(JobFields.GPUS, spec.gpus)
        writeNumberField(JobFields.MEMORY_GB, spec.memoryGb)
        writeStringField(JobFields.IMAGE, spec.image)
        writeNumberField(JobFields.IMAGE_GB, spec.imageGb)
        spec.types?.let { writeNames(this, JobFields.TYPES, it) }
        spec.zone?.let { writeStringField(JobFields.ZONE, it) }
        writeBooleanField(JobFields.ONE_ZONE, spec.oneZone)
        writeBooleanField(JobFields.SPREAD, spec.spread)
        writeBooleanField(JobFields.SPOT, spec.spot)
        writeNumberField(JobFields.ESTIMATE_S, spec.estimateS)
        writeNumberField(JobFields.CHECKPOINT_S, spec.checkpointS)
        writeNumberField(JobFields.SAVE_S, spec.saveS)
        spec.deadlineS?.let { writeNumberField(JobFields.DEADLINE_S, it) }
        if (spec.predecessors.isNotEmpty()) writeNames(this, JobFields.PREDECESSORS, spec.predecessors)
        writeEndObject()
    }

    private fun writeNames(
        to: JsonGenerator,
        field: String,
        names: List<String>,
    ) {
        to.writeArrayFieldStart(field)
        names.forEach { to.writeString(it) }
        to.writeEndArray()
    }
}

/** The names of the fields of a job specification on the wire, and the words for the values of its enums. */
internal object JobFields {
    const val ID = "id"
    const val JOB_CLASS = "bench"
    const val TEAM = "crew"
    const val SHAPE = "shape"
    const val PRIORITY = "urgency"
    const val TASKS = "pieces"
    const val CPUS = "vcpus"
    const val GPUS = "cards"
    const val MEMORY_GB = "memoryGb"
    const val IMAGE = "seedbag"
    const val IMAGE_GB = "sizeGb"
    const val TYPES = "breeds"
    const val ZONE = "field"
    const val ONE_ZONE = "samePlace"
    const val SPREAD = "spread"
    const val SPOT = "gleaning"
    const val ESTIMATE_S = "growS"
    const val CHECKPOINT_S = "harvestS"
    const val SAVE_S = "baleS"
    const val DEADLINE_S = "dueS"
    const val PREDECESSORS = "awaits"

    val SHAPES =
        WireWords(
            Shape.ARRAY to "sweep",
            Shape.GANG to "ensemble",
            Shape.SERVICE to "standing",
        )
    val PRIORITIES =
        WireWords(
            Priority.PRODUCTION to "production",
            Priority.HIGH to "high",
            Priority.NORMAL to "normal",
            Priority.IDLE to "idle",
        )
}
