package mintfield.app.sharding

import mintfield.core.model.Settings
import mintfield.core.ownership.MoveTracer
import mintfield.io.loop.Log
import mintfield.io.tracing.OpenTelemetryMoveTracer
import java.io.IOException

/** Makes the tracer of moves of machines that operators ask for: none, unless they name a file. */
object MoveTracerFactory {
    /** The tracer of the process [name], by default the controller. A file that cannot be written costs the traces, not the service. */
    fun create(
        settings: Settings,
        name: String = settings.member,
    ): MoveTracer {
        val file = settings.operator.traceFile ?: return MoveTracer.Off
        return try {
            OpenTelemetryMoveTracer(file, name)
        } catch (e: IOException) {
            Log.error("moves are not traced: $file: ${e.message}")
            MoveTracer.Off
        }
    }
}
