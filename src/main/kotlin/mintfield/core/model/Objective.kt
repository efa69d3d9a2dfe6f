package mintfield.core.model

/** A service-level objective of the operator. Fields that do not apply to its [kind] are null. */
data class Objective(
    /** The measured quantity, by its name in the settings. */
    val kind: String,
    /** The class of jobs to which it applies. */
    val jobClass: String?,
    /** The time within which the measured event should occur, in seconds. */
    val withinS: Double?,
    /** The fraction of jobs or tasks that should meet it, from 0 to 1. */
    val targetFraction: Double?,
    /** The factor by which the owner's deadline is multiplied. */
    val deadlineFactor: Double?,
)
