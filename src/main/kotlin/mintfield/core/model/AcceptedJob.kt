package mintfield.core.model

/** An accepted job that has not ended, as the store holds it. */
data class AcceptedJob(
    val spec: JobSpec,
    /** The revision of its record in the store. */
    val revision: Long,
    /** When it was accepted, time of day in milliseconds. */
    val acceptedAtMs: Long,
    /** Its user cancelled it; its tasks are being stopped. */
    val cancelled: Boolean,
    /** The machine types that could hold one of its tasks when it was accepted, a recorded output (see [mintfield.core.steps.JobSteps]). */
    val compatibleTypes: List<String>,
)
