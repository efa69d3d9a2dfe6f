package mintfield.tools

import kotlinx.html.body
import kotlinx.html.h1
import kotlinx.html.head
import kotlinx.html.html
import kotlinx.html.p
import kotlinx.html.stream.appendHTML
import kotlinx.html.style
import kotlinx.html.table
import kotlinx.html.td
import kotlinx.html.th
import kotlinx.html.title
import kotlinx.html.tr
import kotlinx.html.unsafe
import mintfield.core.ownership.Assignment
import mintfield.history.AssignmentWritten
import mintfield.history.Move
import java.io.File

/** HTML report of the owner of each machine over time and of the duration of moves. */
class OwnershipReport(
    private val assignments: List<AssignmentWritten>,
    private val moves: List<Move>,
    private val shards: List<String>,
) {
    private val startNanos = assignments.minOf { it.atNanos }
    private val endNanos = assignments.maxOf { it.atNanos }

    /** Writes the report to [path]. */
    fun write(path: String) {
        File(path).bufferedWriter().use { out ->
            out.appendHTML().html {
                head {
                    title("Ownership of machines")
                    style { unsafe { +"body { font-family: sans-serif } td, th { padding: 2px 8px; text-align: right }" } }
                }
                body {
                    h1 { +"Ownership of machines" }
                    p { +"${moves.size} moves in ${seconds(endNanos)} s. One row per machine; ${legend()}; white: offered, no owner." }
                    unsafe { +chart() }
                    table {
                        tr { listOf("machine", "from", "to", "ordered at, s", "adopted after, ms", "without owner, ms").forEach { th { +it } } }
                        for (move in moves.sortedByDescending { it.adoptedNanos - it.orderedNanos }.take(MAX_MOVES)) {
                            tr {
                                listOf(
                                    move.machine,
                                    move.from,
                                    move.to,
                                    seconds(move.orderedNanos),
                                    ms(move.adoptedNanos - move.orderedNanos),
                                    ms(move.adoptedNanos - move.offeredNanos),
                                ).forEach { td { +it } }
                            }
                        }
                    }
                }
            }
        }
    }

    private fun legend() = shards.mapIndexed { i, shard -> "$shard ${COLOURS[i % COLOURS.size]}" }.joinToString(", ")

    private fun chart(): String {
        val machines = assignments.map { it.machine }.distinct().sorted()
        val rows =
            machines.withIndex().joinToString(
                "",
            ) { (row, machine) -> chartRow(row, assignments.filter { it.machine == machine }.sortedBy { it.revision }) }
        return """<svg width="$CHART_WIDTH" height="${machines.size * ROW_HEIGHT}">$rows</svg>"""
    }

    private fun chartRow(
        index: Int,
        writes: List<AssignmentWritten>,
    ) = writes.zip(writes.drop(1).map { it.atNanos } + endNanos).filter { it.first.assignment !is Assignment.Offered }.joinToString("") { (write, end) ->
        val x = xOf(write.atNanos)
        val colour = write.assignment?.let { COLOURS[maxOf(0, shards.indexOf(it.owner)) % COLOURS.size] } ?: "none"
        """<rect x="$x" y="${index * ROW_HEIGHT}" width="${maxOf(0.0, xOf(end) - x)}" height="${ROW_HEIGHT - 2}" fill="$colour"/>"""
    }

    private fun xOf(nanos: Long) = (nanos - startNanos) * CHART_WIDTH.toDouble() / maxOf(1, endNanos - startNanos)

    private fun seconds(nanos: Long) = "%.1f".format((nanos - startNanos) / 1e9)

    private fun ms(nanos: Long) = "%.0f".format(nanos / 1e6)

    private companion object {
        val COLOURS = listOf("steelblue", "darkorange", "seagreen", "purple")
        const val CHART_WIDTH = 1_200
        const val ROW_HEIGHT = 10
        const val MAX_MOVES = 20
    }
}
