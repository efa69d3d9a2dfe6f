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

/** A page that shows who owned each machine when, and how long moves took. */
class OwnershipReport(
    private val assignments: List<AssignmentWritten>,
    private val moves: List<Move>,
    private val shards: List<String>,
) {
    private val from = assignments.minOf { it.atNanos }
    private val until = assignments.maxOf { it.atNanos }

    /** Writes the page as HTML to [path]. */
    fun write(path: String) {
        File(path).bufferedWriter().use { out ->
            out.appendHTML().html {
                head {
                    title("Ownership of machines")
                    style { unsafe { +"body { font-family: sans-serif } td, th { padding: 2px 8px; text-align: right }" } }
                }
                body {
                    h1 { +"Ownership of machines" }
                    p { +"${moves.size} moves in ${seconds(until)} s. One row a machine; ${legend()}; white: offered, nobody's." }
                    unsafe { +chart() }
                    table {
                        tr { listOf("machine", "from", "to", "ordered at, s", "adopted after, ms", "nobody's, ms").forEach { th { +it } } }
                        for (move in moves.sortedByDescending { it.adoptedNanos - it.orderedNanos }.take(LONGEST)) {
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
        val rows = machines.withIndex().joinToString("") { (row, machine) -> row(row, assignments.filter { it.machine == machine }.sortedBy { it.revision }) }
        return """<svg width="$WIDTH" height="${machines.size * ROW}">$rows</svg>"""
    }

    private fun row(
        number: Int,
        writes: List<AssignmentWritten>,
    ) = writes.zip(writes.drop(1).map { it.atNanos } + until).filter { it.first.assignment !is Assignment.Offered }.joinToString("") { (write, end) ->
        val x = place(write.atNanos)
        val colour = write.assignment?.let { COLOURS[maxOf(0, shards.indexOf(it.owner)) % COLOURS.size] } ?: "none"
        """<rect x="$x" y="${number * ROW}" width="${maxOf(0.0, place(end) - x)}" height="${ROW - 2}" fill="$colour"/>"""
    }

    private fun place(nanos: Long) = (nanos - from) * WIDTH.toDouble() / maxOf(1, until - from)

    private fun seconds(nanos: Long) = "%.1f".format((nanos - from) / 1e9)

    private fun ms(nanos: Long) = "%.0f".format(nanos / 1e6)

    private companion object {
        val COLOURS = listOf("steelblue", "darkorange", "seagreen", "purple")
        const val WIDTH = 1_200
        const val ROW = 10
        const val LONGEST = 20
    }
}
