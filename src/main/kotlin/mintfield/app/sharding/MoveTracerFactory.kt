package mintfield.app.sharding

import mintfield.core.model.Settings
import mintfield.core.ownership.MoveTracer
import mintfield.io.loop.Log
import mintfield.io.tracing.OpenTelemetryMoveTracer
import java.io.IOException

/** Creates the tracer for moves of machines between shards. Tracing is off unless the operators' file names a trace file. */
object MoveTracerFactory {
    /** Returns a tracer whose spans name the process [name]. If the file cannot be written, logs the failure and returns [MoveTracer.Off]. */
    fun create(
        settings: Settings,
        name: String = settings.member,
    ): MoveTracer {
        val file = settings.operator.traceFile ?: return MoveTracer.Off
        return try {
            OpenTelemetryMoveTracer(file, name)
        } catch (e: IOException) {
            Log.error("$file: cannot write traces, tracing of machine moves is off: ${e.message}")
            MoveTracer.Off
        }
    }
}
