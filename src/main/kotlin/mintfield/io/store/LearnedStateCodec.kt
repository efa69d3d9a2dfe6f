package mintfield.io.store

import com.fasterxml.jackson.core.JsonGenerator
import mintfield.core.LearnedState
import mintfield.io.json.Json
import mintfield.io.json.asList
import mintfield.io.json.asMap

/** The record of a block of learned state. It is advisory, so what cannot be read of it is skipped and what does not fit is left out. */
object LearnedStateCodec {
    /** Per job class, the logarithm of the ratio between measured and estimated run times. */
    private const val LOG_RATIOS = "ratio"

    /** Per image, its size in GB. */
    private const val IMAGE_GB = "gb"

    /** Per suspect job, how often it was probed. */
    private const val SUSPECT_JOBS = "doubted"

    /** Per machine, the images that it holds. */
    private const val MACHINES = "machines"

    /** Each time that the record does not fit, this part of its machines is kept. */
    private const val MACHINES_KEPT_NUMERATOR = 3
    private const val MACHINES_KEPT_DENOMINATOR = 4

    /** What of a learned state goes into its record. */
    private class Selection(
        val machines: List<Map.Entry<String, List<String>>>,
        val classes: List<Map.Entry<String, Double>>,
        val suspectJobs: List<Map.Entry<String, Int>>,
    ) {
        /** A smaller selection: the last machines are dropped first; then, without any machine, half of the classes and jobs. */
        fun reduced(): Selection {
            val fewerMachines = machines.take(machines.size * MACHINES_KEPT_NUMERATOR / MACHINES_KEPT_DENOMINATOR)
            if (machines.isNotEmpty()) return Selection(fewerMachines, classes, suspectJobs)
            return Selection(fewerMachines, classes.take(classes.size / 2), suspectJobs.take(suspectJobs.size / 2))
        }

        val isEmpty: Boolean get() = machines.isEmpty() && classes.isEmpty() && suspectJobs.isEmpty()
    }

    /**
     * The record of [learnedState] as JSON of at most [maxBytes]: as much is left out as that takes, machines first, then classes and
     * jobs. Throws [IllegalStateException] if not even an empty record fits.
     */
    fun encode(
        learnedState: LearnedState,
        maxBytes: Int,
    ): ByteArray {
        var selection =
            Selection(
                machines = learnedState.machineImages.entries.toList(),
                classes = learnedState.logRatio.entries.toList(),
                suspectJobs = learnedState.suspectJobs.entries.toList(),
            )
        while (true) {
            val bytes = encode(selection, learnedState.imageGb)
            if (bytes.size <= maxBytes) return bytes
            check(!selection.isEmpty) { "a value of $maxBytes bytes holds no learned state at all" }
            selection = selection.reduced()
        }
    }

    private fun encode(
        selection: Selection,
        imageGb: Map<String, Double>,
    ): ByteArray =
        Json.obj {
            writeObjectFieldStart(LOG_RATIOS)
            selection.classes.forEach { (jobClass, ratio) -> writeNumberField(jobClass, ratio) }
            writeEndObject()
            writeObjectFieldStart(IMAGE_GB)
            val heldImages = selection.machines.flatMapTo(HashSet()) { it.value }
            imageGb.forEach { (image, sizeGb) -> if (image in heldImages) writeNumberField(image, sizeGb) }
            writeEndObject()
            writeObjectFieldStart(SUSPECT_JOBS)
            selection.suspectJobs.forEach { (job, probes) -> writeNumberField(job, probes) }
            writeEndObject()
            writeMachines(this, selection.machines)
        }

    private fun writeMachines(
        to: JsonGenerator,
        machines: List<Map.Entry<String, List<String>>>,
    ) {
        to.writeObjectFieldStart(MACHINES)
        for ((machine, images) in machines) {
            to.writeArrayFieldStart(machine)
            images.forEach { to.writeString(it) }
            to.writeEndArray()
        }
        to.writeEndObject()
    }

    /** The learned state that [data] records, as far as it can be read. */
    fun decode(data: Map<String, Any?>): LearnedState =
        LearnedState(
            imageGb = readNumbers(data, IMAGE_GB),
            machineImages = data[MACHINES].asMap().orEmpty().mapValues { readNames(it.value) },
            logRatio = readNumbers(data, LOG_RATIOS),
            suspectJobs = readNumbers(data, SUSPECT_JOBS).mapValues { it.value.toInt() },
        )

    private fun readNumbers(
        data: Map<String, Any?>,
        field: String,
    ): Map<String, Double> =
        data[field]
            .asMap()
            .orEmpty()
            .mapNotNull { (name, value) -> Json.asDouble(value)?.let { name to it } }
            .toMap()

    private fun readNames(value: Any?): List<String> = value.asList().orEmpty().filterIsInstance<String>()
}
