package mintfield.io.worker

import mintfield.core.model.JobSpec
import mintfield.io.json.Json
import mintfield.io.json.asList

/** Thrown for an invalid job specification. The [reason] names the field and the expected value. It has no stack trace. */
internal class InvalidJobException(
    val reason: String,
) : Exception(reason, null, false, false)

/** Reads a job specification from the [fields] of a JSON object. Throws [InvalidJobException] at the first invalid field. */
internal class JobSpecReader(
    private val fields: Map<String, Any?>,
) {
    /** Reads the specification of job [id]. */
    fun read(id: String) =
        JobSpec(
            id = id,
            jobClass = name(JobFields.JOB_CLASS),
            team = name(JobFields.TEAM),
            shape = word(JobFields.SHAPE, JobFields.SHAPES, "sweep, ensemble or standing"),
            priority = word(JobFields.PRIORITY, JobFields.PRIORITIES, "production, high, normal or idle"),
            tasks = taskCount(),
            cpus = amount(JobFields.CPUS),
            gpus = amount(JobFields.GPUS),
            memoryGb = amount(JobFields.MEMORY_GB),
            image = name(JobFields.IMAGE),
            imageGb = amount(JobFields.IMAGE_GB),
            types = names(JobFields.TYPES),
            zone = fields[JobFields.ZONE]?.let { name(JobFields.ZONE) },
            oneZone = flag(JobFields.ONE_ZONE),
            spread = flag(JobFields.SPREAD),
            spot = flag(JobFields.SPOT),
            estimateS = amount(JobFields.ESTIMATE_S),
            checkpointS = amount(JobFields.CHECKPOINT_S),
            saveS = amount(JobFields.SAVE_S),
            deadlineS = fields[JobFields.DEADLINE_S]?.let { amount(JobFields.DEADLINE_S) },
            predecessors = predecessors(),
        )

    private fun invalid(
        field: String,
        expected: String,
    ): Nothing = throw InvalidJobException("$field: expected $expected")

    private fun <T : Any> word(
        field: String,
        words: WireWords<T>,
        expected: String,
    ): T = words.valueOf(fields[field] as? String) ?: invalid(field, expected)

    private fun taskCount(): Int {
        val count = fields[JobFields.TASKS] as? Long ?: invalid(JobFields.TASKS, "an integer")
        if (count !in 1..MAX_TASKS) invalid(JobFields.TASKS, "1 to $MAX_TASKS")
        return count.toInt()
    }

    private fun name(field: String): String {
        val text = fields[field] as? String ?: invalid(field, "a string")
        if (!isName(text)) invalid(field, "1 to $MAX_NAME_LENGTH characters")
        return text
    }

    private fun isName(text: String) = text.length in 1..MAX_NAME_LENGTH

    private fun amount(field: String): Double {
        val value = Json.asDouble(fields[field]) ?: invalid(field, "a number")
        if (value < 0 || value > MAX_AMOUNT) invalid(field, "0 or more")
        return value
    }

    private fun flag(field: String): Boolean = fields[field] as? Boolean ?: invalid(field, "true or false")

    private fun names(field: String): List<String>? {
        val value = fields[field] ?: return null
        val list = value.asList() ?: invalid(field, "a list or null")
        return list.map { item -> (item as? String)?.takeIf(::isName) ?: invalid(field, "names") }
    }

    /** Strings that are not job ids are permitted here: the later check that each predecessor was accepted rejects them. */
    private fun predecessors(): List<String> {
        val value = fields[JobFields.PREDECESSORS] ?: return emptyList()
        val list = value.asList() ?: invalid(JobFields.PREDECESSORS, "a list or null")
        return list.map { it as? String ?: invalid(JobFields.PREDECESSORS, "job ids") }.distinct()
    }

    private companion object {
        const val MAX_TASKS = 100_000
        const val MAX_NAME_LENGTH = 200

        /** The largest permitted number of CPUs, GPUs, GB or seconds. */
        const val MAX_AMOUNT = 1e9
    }
}
