package mintfield.app.sharding

import mintfield.core.model.Settings
import mintfield.core.ownership.MoveTracer
import mintfield.io.loop.Log
import mintfield.io.tracing.OpenTelemetryMoveTracer
import java.io.IOException

/** Chooses how moves are traced: not at all, unless operators name a file. */
object MoveTracing {
    /** The tracer of the process [name]. A file that cannot be written costs the traces, not the service. */
    fun of(
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
