package mintfield.io.loop

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import java.util.PriorityQueue
import java.util.concurrent.AbstractExecutorService
import java.util.concurrent.LinkedBlockingDeque
import java.util.concurrent.TimeUnit
import kotlin.coroutines.CoroutineContext

/**
 * The one thread on which everything of this process runs: coroutines, timers and the completions of
 * NIO.2 channels (which take it as their executor).
 */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
class EventLoop :
    CoroutineDispatcher(),
    Delay {
    private val queue = LinkedBlockingDeque<Runnable>()
    private val timers = PriorityQueue<Timer>()
    private val thread = Thread({ run() }, "mintfield-loop")

    @Volatile private var stopped = false
    private var sequence = 0L

    /** View of the loop as the executor that an asynchronous channel group asks for. */
    val executor: AbstractExecutorService = LoopExecutor()

    fun start() = thread.start()

    fun join() = thread.join()

    fun stop() {
        stopped = true
        queue.add(Runnable { })
    }

    /** Set while [ahead] runs; only used on the loop. */
    private var completionsAhead = false

    /**
     * Runs [action], which starts an operation of a channel. If that completes at once, its completion becomes the next event
     * instead of the last. Only to be called on the loop.
     */
    fun ahead(action: () -> Unit) {
        completionsAhead = true
        try {
            action()
        } finally {
            completionsAhead = false
        }
    }

    fun post(task: Runnable) {
        queue.add(task)
    }

    /** Steady time in milliseconds, from an arbitrary origin. */
    fun nowMs(): Long = System.nanoTime() / 1_000_000

    /** When this loop, and so most likely its process, began. */
    val startedAtMs = nowMs()

    /** Runs [task] on the loop after [delayMs]; only to be called on the loop. */
    fun after(
        delayMs: Long,
        task: () -> Unit,
    ): Timer {
        val timer = Timer(System.nanoTime() + delayMs * 1_000_000, sequence++, task)
        timers.add(timer)
        return timer
    }

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) {
        queue.add(block)
    }

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>,
    ) {
        onLoop {
            val timer = after(timeMillis) { with(continuation) { resumeUndispatched(Unit) } }
            continuation.invokeOnCancellation { timer.cancel() }
        }
    }

    override fun invokeOnTimeout(
        timeMillis: Long,
        block: Runnable,
        context: CoroutineContext,
    ): DisposableHandle {
        val timer = after(timeMillis) { block.run() }
        return DisposableHandle { timer.cancel() }
    }

    private inline fun onLoop(crossinline action: () -> Unit) {
        if (Thread.currentThread() === thread) action() else queue.add(Runnable { action() })
    }

    private fun run() {
        while (!stopped) {
            runDueTimers()
            val task = nextTask() ?: continue
            runSafely(task)
            drain()
        }
    }

    /** Runs what is queued now, but not what that queues in turn, so that timers get their turn. */
    private fun drain() {
        var left = queue.size
        while (left-- > 0) runSafely(queue.poll() ?: return)
    }

    private fun nextTask(): Runnable? {
        while (true) {
            val head = timers.peek() ?: return queue.take()
            if (head.cancelled) {
                timers.poll()
                continue
            }
            val wait = head.atNanos - System.nanoTime()
            return if (wait <= 0) null else queue.poll(wait, TimeUnit.NANOSECONDS)
        }
    }

    private fun runDueTimers() {
        val now = System.nanoTime()
        while (true) {
            val head = timers.peek() ?: return
            if (!head.cancelled && head.atNanos - now > 0) return
            timers.poll()
            if (!head.cancelled) runSafely(Runnable { head.task() })
        }
    }

    private fun runSafely(task: Runnable) {
        try {
            task.run()
        } catch (e: Exception) {
            Log.error("an event failed: $e at ${e.stackTrace.take(6)}")
        }
    }

    class Timer(
        internal val atNanos: Long,
        private val order: Long,
        internal val task: () -> Unit,
    ) : Comparable<Timer> {
        internal var cancelled = false

        fun cancel() {
            cancelled = true
        }

        override fun compareTo(other: Timer): Int {
            val byTime = (atNanos - other.atNanos).compareTo(0)
            return if (byTime != 0) byTime else order.compareTo(other.order)
        }
    }

    private inner class LoopExecutor : AbstractExecutorService() {
        override fun execute(command: Runnable) {
            if (Thread.currentThread() === thread && completionsAhead) queue.addFirst(command) else queue.add(command)
        }

        override fun shutdown() = this@EventLoop.stop()

        override fun shutdownNow(): List<Runnable> {
            shutdown()
            return emptyList()
        }

        override fun isShutdown() = stopped

        override fun isTerminated() = stopped && !thread.isAlive

        override fun awaitTermination(
            timeout: Long,
            unit: TimeUnit,
        ): Boolean {
            thread.join(unit.toMillis(timeout))
            return !thread.isAlive
        }
    }
}

/** The scope of coroutines that live as long as the process. */
fun EventLoop.scope(): CoroutineScope =
    CoroutineScope(
        this + kotlinx.coroutines.SupervisorJob() +
            kotlinx.coroutines.CoroutineExceptionHandler { _, e ->
                Log.error("a coroutine failed: $e at ${e.stackTrace.take(6)}")
            },
    )
