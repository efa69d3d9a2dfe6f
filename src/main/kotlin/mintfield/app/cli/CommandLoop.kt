package mintfield.app.cli

import kotlinx.coroutines.launch
import mintfield.app.ExternalServices
import mintfield.core.model.Settings
import mintfield.io.loop.EventLoop
import mintfield.io.loop.scope
import java.nio.channels.AsynchronousChannelGroup
import java.util.concurrent.CompletableFuture

/** Runs an operators' command that calls external services, on an event loop that is started for it and stopped when it ends. */
object CommandLoop {
    /** Blocks until [action] has ended, and returns its exit code. */
    fun run(
        settings: Settings,
        action: suspend (ExternalServices) -> ExitCode,
    ): ExitCode {
        val loop = EventLoop()
        loop.start()
        val group = AsynchronousChannelGroup.withThreadPool(loop.executor)
        val exitCode = CompletableFuture<ExitCode>()
        loop.post {
            val services = ExternalServices(settings, loop, group)
            loop.scope().launch { exitCode.complete(action(services)) }
        }
        return try {
            exitCode.get()
        } finally {
            // The store accepts a limited number of connections. A process that runs many commands, such as a test, would exhaust them.
            group.shutdownNow()
            loop.stop()
        }
    }
}
