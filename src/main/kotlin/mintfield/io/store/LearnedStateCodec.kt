package mintfield.io.store

import com.fasterxml.jackson.core.JsonGenerator
import mintfield.core.LearnedState
import mintfield.io.json.Json
import mintfield.io.json.asList
import mintfield.io.json.asMap

/** Codec of the stored record of a block of learned state. It is advisory, so unreadable entries are skipped and excess entries omitted. */
object LearnedStateCodec {
    /** Per job class, the logarithm of the ratio between measured and estimated run times. */
    private const val LOG_RATIOS = "ratio"

    /** Per image, its size in GB. */
    private const val IMAGE_GB = "gb"

    /** Per suspect job, the number of times that it was probed. */
    private const val SUSPECT_JOBS = "doubted"

    /** Per machine, the images in its cache. */
    private const val MACHINES = "machines"

    /** Numerator of the fraction of machines that is kept each time that the record is too large. */
    private const val MACHINES_KEPT_NUMERATOR = 3

    /** Denominator of the fraction of machines that is kept each time that the record is too large. */
    private const val MACHINES_KEPT_DENOMINATOR = 4

    /** The entries of a learned state that are written to its record. */
    private class Selection(
        val machines: List<Map.Entry<String, List<String>>>,
        val classes: List<Map.Entry<String, Double>>,
        val suspectJobs: List<Map.Entry<String, Int>>,
    ) {
        /** A smaller selection: drops the last machines of the list; if no machines are left, drops half of the classes and jobs. */
        fun reduced(): Selection {
            val fewerMachines = machines.take(machines.size * MACHINES_KEPT_NUMERATOR / MACHINES_KEPT_DENOMINATOR)
            if (machines.isNotEmpty()) return Selection(fewerMachines, classes, suspectJobs)
            return Selection(fewerMachines, classes.take(classes.size / 2), suspectJobs.take(suspectJobs.size / 2))
        }

        val isEmpty: Boolean get() = machines.isEmpty() && classes.isEmpty() && suspectJobs.isEmpty()
    }

    /**
     * Encodes [learnedState] as JSON of at most [maxBytes]. Entries that do not fit are omitted, machines first, then classes and jobs.
     * Throws [IllegalStateException] if not even an empty record fits.
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
            check(!selection.isEmpty) { "an empty record of learned state exceeds the limit of $maxBytes bytes" }
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

    /** Decodes the readable entries of [data]. */
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
