package mintfield.app.cli

import mintfield.app.sharding.OwnershipStatus
import mintfield.core.ownership.Assignment
import mintfield.io.json.Json

/** Formats an [OwnershipStatus] as lines for operators, or as JSON that conforms to docs/schemas/machines-show.schema.json for programs. */
object OwnershipPrinter {
    /** Returns a line for each shard, each move and each drained controller, in this order. */
    fun lines(status: OwnershipStatus): List<String> {
        val shards = status.shards.map { "${it.name}: ${it.machines.size} machines, led by ${it.leader ?: "nobody"}" }
        val moves = status.moves.map { (machine, move) -> "$machine: ${describe(move)}" }
        val drained =
            status.drained.map { controller ->
                "$controller: drained, leads ${status.shardsLedBy(controller).joinToString(", ").ifEmpty { "nothing" }}"
            }
        return shards + moves + drained
    }

    /** Returns the status as one JSON object. */
    fun json(status: OwnershipStatus): String =
        String(
            Json.obj {
                writeArrayFieldStart("shares")
                for (shard in status.shards) {
                    writeStartObject()
                    writeStringField("name", shard.name)
                    writeStringField("leader", shard.leader)
                    writeNumberField("machines", shard.machines.size)
                    writeEndObject()
                }
                writeEndArray()
                writeArrayFieldStart("moves")
                for ((machine, move) in status.moves) {
                    writeStartObject()
                    writeStringField("machine", machine)
                    writeStringField("state", if (move is Assignment.Offered) "offered" else "releasing")
                    writeStringField("from", move.owner)
                    writeStringField("to", targetOf(move))
                    writeEndObject()
                }
                writeEndArray()
                writeArrayFieldStart("drained")
                for (controller in status.drained) {
                    writeStartObject()
                    writeStringField("controller", controller)
                    writeArrayFieldStart("leads")
                    status.shardsLedBy(controller).forEach(::writeString)
                    writeEndArray()
                    writeEndObject()
                }
                writeEndArray()
            },
        )

    private fun describe(move: Assignment) =
        when (move) {
            is Assignment.Owned -> "owned by ${move.owner}"
            is Assignment.Releasing -> "from ${move.owner} to ${move.target}, to be let go"
            is Assignment.Offered -> "from ${move.owner} to ${move.target}, to be adopted"
        }

    private fun targetOf(move: Assignment) =
        when (move) {
            is Assignment.Owned -> move.owner
            is Assignment.Releasing -> move.target
            is Assignment.Offered -> move.target
        }
}
