package mintfield.golden

import mintfield.core.ownership.MoveStep
import mintfield.io.tracing.OpenTelemetryMoveTracer
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.File

/** Pins the spans that tracing tools read. */
class TracesGoldenTest {
    @TempDir
    lateinit var folder: File

    private fun tracer(file: File) = OpenTelemetryMoveTracer(file.path, "plot-0") { 1_700_000_000_123 }

    @Test
    fun `a move is traced with stable names and attributes`() {
        val file = File(folder, "spans")
        // One tracer per span, so that each span is written on its own line.
        val trace = tracer(file).use { it.ordered("m-000001", "s0", "s1") }
        for (step in MoveStep.entries) tracer(file).use { it.ended(step, "m-000001", "s1", trace, 40) }
        assertTrue(Regex("00-[0-9a-f]{32}-[0-9a-f]{16}-03").matches(trace), trace)
        // Trace and span ids are random.
        val text = file.readText().replace(Regex("\"[0-9a-f]{32}\""), "\"TRACE\"").replace(Regex("\"[0-9a-f]{16}\""), "\"SPAN\"")
        GoldenFile.check("traces/move.txt", sortedAttributes(text).toByteArray())
    }

    /** Sorts the attributes of each span: the library writes them in a hash order that differs from process to process. */
    private fun sortedAttributes(text: String): String =
        ATTRIBUTES.replace(text) { list ->
            ATTRIBUTE
                .findAll(list.value)
                .map { it.value }
                .sorted()
                .joinToString(",")
        }

    private companion object {
        val ATTRIBUTE = Regex("""\{"key":"[^"]*","value":\{"stringValue":"[^"]*"\}\}""")
        val ATTRIBUTES = Regex("${ATTRIBUTE.pattern}(,${ATTRIBUTE.pattern})*")
    }
}
