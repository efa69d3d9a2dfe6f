package mintfield.core.model

/** A service-level objective of the operator. What does not apply to its [kind] is null. */
data class Objective(
    /** What is measured, in the word of the settings. */
    val kind: String,
    /** The class of jobs that it applies to. */
    val jobClass: String?,
    /** The time in which the measured event should come, in seconds. */
    val withinS: Double?,
    /** The fraction of jobs or tasks that should meet it, from 0 to 1. */
    val targetFraction: Double?,
    /** The factor by which the owner's deadline may be exceeded. */
    val times: Double?,
)
