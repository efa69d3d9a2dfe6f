package mintfield.core.ownership

/** One block of the assignment table as the store holds it at [revision]; [assignments], by machine, is null if it cannot be read. */
class AssignmentBlock(
    val revision: Long,
    val assignments: Map<String, Assignment>?,
)
