package mintfield.tools

import mintfield.core.ownership.MoveStep
import mintfield.io.tracing.OpenTelemetryMoveTracer
import java.io.File
import java.lang.management.ManagementFactory

private const val NANOS_PER_MS = 1e6
private const val MOVES = 20_000

/** What tracing adds to the start of a controller, and what a traced move costs. A tool that is run by hand, not a test; see docs/sharing.md. */
fun main() {
    val file = File.createTempFile("spans", ".jsonl")
    val classes = ManagementFactory.getClassLoadingMXBean()
    val classesBefore = classes.totalLoadedClassCount
    val from = System.nanoTime()
    val tracer = OpenTelemetryMoveTracer(file.path, "plot-0")
    val trace = tracer.ordered("m-1", "a", "b")
    tracer.ended(MoveStep.RELEASE, "m-1", "a", trace, 10)
    println("ready and the first move: %.0f ms, ${classes.totalLoadedClassCount - classesBefore} classes".format((System.nanoTime() - from) / NANOS_PER_MS))
    val threads = ManagementFactory.getThreadMXBean()
    val before = threads.currentThreadCpuTime
    repeat(MOVES) { tracer.ended(MoveStep.ADOPT, "m-1", "b", tracer.ordered("m-1", "a", "b"), 10) }
    println("an order and a step: %.1f us of the event loop's thread".format((threads.currentThreadCpuTime - before) / 1e3 / MOVES))
    tracer.close()
    println("${file.length()} bytes written; more than the queue holds is dropped")
    file.delete()
}
