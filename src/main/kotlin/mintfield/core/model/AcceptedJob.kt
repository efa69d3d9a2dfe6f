package mintfield.core.model

/** An accepted job that has not ended, as the store holds it. */
data class AcceptedJob(
    val spec: JobSpec,
    /** The revision of its record in the store. */
    val revision: Long,
    /** The time at which it was accepted, in milliseconds since the Unix epoch. */
    val acceptedAtMs: Long,
    /** Whether its user cancelled it; the tasks of a cancelled job are being stopped. */
    val cancelled: Boolean,
    /** The machine types with capacity for one of its tasks, computed at its acceptance and recorded (see [mintfield.core.steps.JobSteps]). */
    val compatibleTypes: List<String>,
)
