package mintfield.io.ownership

import mintfield.core.ownership.Assignment
import mintfield.io.json.Json
import mintfield.io.json.asMap
import mintfield.io.json.string

/**
 * Codec of a block of the assignment table. Its stored form is an object with one field per machine:
 * `{"m-1":{"owner":"a"},"m-2":{"owner":"a","releasing":"b"}}`.
 */
object AssignmentCodec {
    private const val OWNER = "owner"
    private const val RELEASING = "releasing"
    private const val OFFERED = "offered"

    /** The trace context of a move; absent if moves are not traced. */
    private const val TRACE = "trace"

    /** The largest number of trace contexts in a block: with more, a block of a large fleet would not fit into a value of 8 KiB. */
    private const val MAX_TRACED = 16

    /** Encodes a block with the [assignments] by machine. */
    fun write(assignments: Map<String, Assignment>): ByteArray =
        Json.obj {
            var traced = 0
            for ((machine, assignment) in assignments) {
                writeObjectFieldStart(machine)
                writeStringField(OWNER, assignment.owner)
                when (assignment) {
                    is Assignment.Owned -> {}
                    is Assignment.Releasing -> writeStringField(RELEASING, assignment.target)
                    is Assignment.Offered -> writeStringField(OFFERED, assignment.target)
                }
                if (assignment.trace != null && traced++ < MAX_TRACED) writeStringField(TRACE, assignment.trace)
                writeEndObject()
            }
        }

    /** Decodes the assignments by machine. Null if any of them is unreadable: a rewrite of a partly read block would lose the others. */
    fun parse(data: Map<String, Any?>): Map<String, Assignment>? = data.mapValues { (_, value) -> assignment(value.asMap()) ?: return null }

    private fun assignment(entry: Map<String, Any?>?): Assignment? {
        val owner = entry?.string(OWNER) ?: return null
        val releasing = entry.string(RELEASING)
        val offered = entry.string(OFFERED)
        if (entry.keys.any { it !in FIELDS } || (releasing != null && offered != null)) return null
        return when {
            releasing != null -> Assignment.Releasing(owner, releasing, entry.string(TRACE))
            offered != null -> Assignment.Offered(owner, offered, entry.string(TRACE))
            entry.size == 1 -> Assignment.Owned(owner)
            else -> null
        }
    }

    private val FIELDS = setOf(OWNER, RELEASING, OFFERED, TRACE)
}
