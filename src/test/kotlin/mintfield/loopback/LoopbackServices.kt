package mintfield.loopback

import mintfield.app.warmup.InMemoryStore
import mintfield.core.model.TaskId
import mintfield.history.AcceptedToken
import mintfield.io.http.HttpMessage
import mintfield.io.http.HttpServer
import mintfield.io.http.Response
import mintfield.io.loop.EventLoop
import mintfield.io.loop.scope
import java.net.InetSocketAddress
import java.nio.channels.AsynchronousChannelGroup
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch

/**
 * Store, cloud and workers that follow the protocol, served over loopback on one event loop of their own. Functions must be called
 * from outside the loop's thread unless stated otherwise.
 */
class LoopbackServices {
    val loop = EventLoop()
    internal val scope = loop.scope()
    internal val group = AsynchronousChannelGroup.withThreadPool(loop.executor)
    val store = InMemoryStore(loop)
    val client = LoopbackClient(loop, group)
    val workers = CopyOnWriteArrayList<LoopbackWorker>()
    private val cloud = LoopbackCloud(workers, ::addWorker)
    private var taskMs = LoopbackWorker.MIN_TASK_MS

    /** Number of machines that are alive up to which the cloud provisions more. */
    @Volatile var capacity = 0

    /** Port of the store without fault injection. */
    var storePort = 0
        private set
    var cloudPort = 0
        private set

    /** Addresses to which the workers send heartbeats, in the order of their attempts. */
    @Volatile var controllers: List<InetSocketAddress> = emptyList()

    /** Addresses of the controllers by name, for redirects, which name a controller. */
    @Volatile var addressesByName: Map<String, InetSocketAddress> = emptyMap()

    /** Interval between two heartbeats of a worker. */
    @Volatile var heartbeatIntervalMs = 300L

    /** Whether all workers withhold their heartbeats. */
    @Volatile var heartbeatsPaused = false

    /** Milliseconds after which each direct command that a worker carried out and answered reaches it once more. */
    @Volatile var repeatDirectCommandsAfterMs: List<Long> = emptyList()

    /** Called on the loop when a task starts on a worker. */
    @Volatile var onStart: (LoopbackWorker, TaskId) -> Unit = { _, _ -> }

    /** Fencing tokens that workers accepted, in the order of acceptance. */
    val accepted = ConcurrentLinkedQueue<AcceptedToken>()

    /** [System.nanoTime] at which each completed task was first observed as completed. */
    val completedNanos = ConcurrentHashMap<TaskId, Long>()

    /** Starts all services with [machines] workers whose tasks run for [taskMs] or, depending on the task number, slightly longer. */
    fun start(
        machines: Int,
        taskMs: Long = LoopbackWorker.MIN_TASK_MS,
        /** Period over which the start of the workers is spread. */
        startupSpreadMs: Long = 0,
    ) {
        this.taskMs = taskMs
        loop.start()
        val ready = CountDownLatch(1)
        loop.post {
            storePort = serve { store.handle(it) }
            cloudPort = serve { cloud.handle(it) }
            repeat(machines) { addWorker(startDelayMs = it * startupSpreadMs / machines) }
            ready.countDown()
        }
        ready.await()
    }

    private fun addWorker(): String? = if (workers.count { it.sim.alive } < capacity) addWorker(startDelayMs = 0) else null

    private fun addWorker(startDelayMs: Long): String {
        val worker = LoopbackWorker(this, "m-%06d".format(workers.size), taskMs, startDelayMs)
        workers.add(worker)
        return worker.sim.id
    }

    /** Starts a server that passes requests to [handler], and returns its port. Called on the loop. */
    internal fun serve(handler: suspend (HttpMessage) -> Response): Int {
        val server = HttpServer(loop, scope, group, MAX_CONNECTIONS, handler)
        server.start(InetSocketAddress("127.0.0.1", 0))
        return server.port
    }

    /** Starts a server for store requests that passes them to [handler], and returns its port. */
    fun serveStore(handler: suspend (HttpMessage) -> Response): Int {
        val port = CompletableFuture<Int>()
        loop.post { port.complete(serve(handler)) }
        return port.get()
    }

    private companion object {
        /** Bound on the connections of each server. */
        const val MAX_CONNECTIONS = 100
    }
}
