package mintfield.io.tracing

import mintfield.core.model.OperatorSettings
import mintfield.core.ownership.Assignment
import mintfield.core.ownership.MoveStep
import mintfield.core.ownership.MoveTracer
import mintfield.io.json.Json
import mintfield.io.json.asList
import mintfield.io.json.asMap
import mintfield.io.json.string
import mintfield.io.ownership.AssignmentCodec
import mintfield.io.settings.OperatorFile
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.File

/** Tests traces of machine moves to which several controllers add spans. */
class MoveTracingTest {
    @TempDir
    lateinit var folder: File

    private class ExportedSpan(
        val trace: String,
        val id: String,
        val parent: String?,
        val name: String,
    )

    private fun spans(file: File): List<ExportedSpan> =
        file.readLines().flatMap { line ->
            val root = Json.parseObject(line.toByteArray())!!
            val scopes = root["resourceSpans"].asList()!!.flatMap { it.asMap()!!["scopeSpans"].asList()!! }
            scopes.flatMap { it.asMap()!!["spans"].asList()!! }.map { it.asMap()!! }.map { s ->
                ExportedSpan(s.string("traceId")!!, s.string("spanId")!!, s.string("parentSpanId"), s.string("name")!!)
            }
        }

    @Test
    fun `steps of a move at two controllers belong to one trace, and an invalid context starts none`() {
        val first = File(folder, "first")
        val second = File(folder, "second")
        OpenTelemetryMoveTracer(first.path, "plot-0").use { owner ->
            OpenTelemetryMoveTracer(second.path, "plot-1").use { target ->
                val trace = owner.ordered("m-1", "a", "b")
                owner.ended(MoveStep.RELEASE, "m-1", "a", trace, 40)
                target.ended(MoveStep.ADOPT, "m-1", "b", trace, 60)
                target.ended(MoveStep.FIRST_HEARTBEAT, "m-2", "b", "00-nonsense", 60)
            }
        }
        assertEquals(setOf("order", "release"), spans(first).map { it.name }.toSet())
        assertEquals(listOf("adopt"), spans(second).map { it.name })
        val order = spans(first).first { it.name == "order" }
        val steps = (spans(first) + spans(second)).filter { it.name != "order" }
        assertEquals(setOf(order.trace), steps.map { it.trace }.toSet())
        assertEquals(setOf(order.id), steps.map { it.parent }.toSet())
    }

    @Test
    fun `the trace context is stored with the assignment, and nothing is written if moves are not traced`() {
        val traced = mapOf("m-1" to Assignment.Releasing("a", "b", "00-1-2-01"), "m-2" to Assignment.Offered("a", "b", "00-3-4-01"))
        assertEquals(traced, AssignmentCodec.parse(Json.parseObject(AssignmentCodec.write(traced))!!))
        assertEquals("""{"m-1":{"owner":"a","releasing":"b"}}""", String(AssignmentCodec.write(mapOf("m-1" to Assignment.Releasing("a", "b")))))
        assertNull(AssignmentCodec.parse(Json.parseObject("""{"m-1":{"owner":"a","trace":"00-1-2-01"}}""".toByteArray())!!))
        assertNull(MoveTracer.Off.ordered("m-1", "a", "b"))
        assertNull(OperatorSettings().traceFile)
        assertEquals("/tmp/spans", OperatorFile.parse("tracing {\n file = \"/tmp/spans\"\n}\n", "o.hcl").traceFile)
    }
}
