package mintfield.core.ownership

/** One block of the assignment table, as stored at [revision]. [assignments] are keyed by machine; null if the block cannot be decoded. */
class AssignmentBlock(
    val revision: Long,
    val assignments: Map<String, Assignment>?,
)
