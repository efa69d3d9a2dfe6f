package mintfield.io.ownership

import mintfield.core.ownership.Assignment
import mintfield.io.json.Json
import mintfield.io.json.asMap
import mintfield.io.json.string

/** How a block of assignments is written: an object by machine, such as `{"m-1":{"owner":"a"},"m-2":{"owner":"a","releasing":"b"}}`. */
object AssignmentCodec {
    private const val OWNER = "owner"
    private const val RELEASING = "releasing"
    private const val OFFERED = "offered"

    fun write(assignments: Map<String, Assignment>): ByteArray =
        Json.obj {
            for ((machine, assignment) in assignments) {
                writeObjectFieldStart(machine)
                writeStringField(OWNER, assignment.owner)
                when (assignment) {
                    is Assignment.Owned -> {}
                    is Assignment.Releasing -> writeStringField(RELEASING, assignment.target)
                    is Assignment.Offered -> writeStringField(OFFERED, assignment.target)
                }
                writeEndObject()
            }
        }

    /** Null if any of it cannot be read: a block read in part would lose the rest when it is rewritten. */
    fun parse(data: Map<String, Any?>): Map<String, Assignment>? = data.mapValues { (_, value) -> assignment(value.asMap()) ?: return null }

    private fun assignment(entry: Map<String, Any?>?): Assignment? {
        val owner = entry?.string(OWNER) ?: return null
        val releasing = entry.string(RELEASING)
        val offered = entry.string(OFFERED)
        if (entry.keys.any { it !in FIELDS } || (releasing != null && offered != null)) return null
        return when {
            releasing != null -> Assignment.Releasing(owner, releasing)
            offered != null -> Assignment.Offered(owner, offered)
            entry.size == 1 -> Assignment.Owned(owner)
            else -> null
        }
    }

    private val FIELDS = setOf(OWNER, RELEASING, OFFERED)
}
