package mintfield.tools

import mintfield.core.ownership.MoveStep
import mintfield.io.tracing.OpenTelemetryMoveTracer
import java.io.File
import java.lang.management.ManagementFactory

private const val NANOS_PER_MS = 1e6
private const val MOVES = 20_000

/** Benchmark of the startup time that tracing adds to a controller and of the CPU time of a traced move. Run by hand, not a test; see docs/sharing.md. */
fun main() {
    val file = File.createTempFile("spans", ".jsonl")
    val classes = ManagementFactory.getClassLoadingMXBean()
    val classesBefore = classes.totalLoadedClassCount
    val startNanos = System.nanoTime()
    val tracer = OpenTelemetryMoveTracer(file.path, "plot-0")
    val trace = tracer.ordered("m-1", "a", "b")
    tracer.ended(MoveStep.RELEASE, "m-1", "a", trace, 10)
    println("startup and first move: %.0f ms, ${classes.totalLoadedClassCount - classesBefore} classes".format((System.nanoTime() - startNanos) / NANOS_PER_MS))
    val threads = ManagementFactory.getThreadMXBean()
    val cpuBefore = threads.currentThreadCpuTime
    repeat(MOVES) { tracer.ended(MoveStep.ADOPT, "m-1", "b", tracer.ordered("m-1", "a", "b"), 10) }
    println("start and one step of a move: %.1f us of CPU time on the calling thread".format((threads.currentThreadCpuTime - cpuBefore) / 1e3 / MOVES))
    tracer.close()
    println("${file.length()} bytes written; spans beyond the queue capacity are dropped")
    file.delete()
}
