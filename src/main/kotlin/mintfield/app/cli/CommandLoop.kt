package mintfield.app.cli

import kotlinx.coroutines.launch
import mintfield.app.ExternalServices
import mintfield.core.model.Settings
import mintfield.io.loop.EventLoop
import mintfield.io.loop.scope
import java.nio.channels.AsynchronousChannelGroup
import java.util.concurrent.CompletableFuture

/** Runs an operators' command that asks the systems outside, on an event loop of its own that ends with it. */
object CommandLoop {
    /** The exit code that [action] returns. */
    fun run(
        settings: Settings,
        action: suspend (ExternalServices) -> Int,
    ): Int {
        val loop = EventLoop()
        loop.start()
        val group = AsynchronousChannelGroup.withThreadPool(loop.executor)
        val code = CompletableFuture<Int>()
        loop.post {
            val services = ExternalServices(settings, loop, group)
            loop.scope().launch { code.complete(action(services)) }
        }
        return try {
            code.get()
        } finally {
            // The store's connections are bounded; whoever asks often, such as a test, would use them up.
            group.shutdownNow()
            loop.stop()
        }
    }
}
