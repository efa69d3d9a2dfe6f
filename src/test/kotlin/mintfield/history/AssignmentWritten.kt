package mintfield.history

import mintfield.core.ownership.Assignment

/** The assignment of [machine] was written at [revision]; null if it was deleted. */
data class AssignmentWritten(
    val machine: String,
    val assignment: Assignment?,
    val revision: Long,
    val atNanos: Long,
)
