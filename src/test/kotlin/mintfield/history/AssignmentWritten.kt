package mintfield.history

import mintfield.core.ownership.Assignment

/** A write of the assignment of [machine] at [revision]; [assignment] is null if the write deleted it. */
data class AssignmentWritten(
    val machine: String,
    val assignment: Assignment?,
    val revision: Long,
    val atNanos: Long,
)
