package mintfield.io.loop

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.SupervisorJob
import java.util.PriorityQueue
import java.util.concurrent.AbstractExecutorService
import java.util.concurrent.LinkedBlockingDeque
import java.util.concurrent.TimeUnit
import kotlin.coroutines.CoroutineContext

/**
 * Event loop of a controller: a single thread that runs coroutines, timers and the completion handlers of NIO.2 channels (through
 * [executor]). State that is only accessed on the loop needs no locks.
 *
 * An event that throws an exception is logged and does not end the loop.
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

    /** The loop as an executor, for an asynchronous channel group. */
    val executor: AbstractExecutorService = LoopExecutor()

    /** Starts the thread. */
    fun start() = thread.start()

    /** Waits until the loop has ended. */
    fun join() = thread.join()

    /** Stops the loop after the current event. Queued events are dropped. May be called from any thread. */
    fun stop() {
        stopped = true
        queue.add(Runnable { })
    }

    /** Whether [prioritizeCompletion] is running. Only used on the loop. */
    private var prioritizesCompletions = false

    /**
     * Runs [action], which starts an operation of a channel. If the operation completes immediately, its completion handler is queued as
     * the next event rather than the last one. May be called on the loop only.
     */
    fun prioritizeCompletion(action: () -> Unit) {
        prioritizesCompletions = true
        try {
            action()
        } finally {
            prioritizesCompletions = false
        }
    }

    /** Queues [task] as the last event. May be called from any thread. */
    fun post(task: Runnable) {
        queue.add(task)
    }

    /** Monotonic time in milliseconds since an arbitrary origin. */
    fun nowMs(): Long = System.nanoTime() / NANOS_PER_MS

    /** Time at which the loop was created, which is close to the start of the process. */
    val startedAtMs = nowMs()

    /** Runs [task] on the loop after [delayMs]. May be called on the loop only. */
    fun schedule(
        delayMs: Long,
        task: () -> Unit,
    ): Timer {
        val timer = Timer(System.nanoTime() + delayMs * NANOS_PER_MS, sequence++, task)
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
            val timer = schedule(timeMillis) { with(continuation) { resumeUndispatched(Unit) } }
            continuation.invokeOnCancellation { timer.cancel() }
        }
    }

    override fun invokeOnTimeout(
        timeMillis: Long,
        block: Runnable,
        context: CoroutineContext,
    ): DisposableHandle {
        val timer = schedule(timeMillis) { block.run() }
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
            runQueuedEvents()
        }
    }

    /** Runs the events that are queued at the start of the call. Events queued meanwhile must wait until due timers have run. */
    private fun runQueuedEvents() {
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

    @Suppress("TooGenericExceptionCaught") // An exception in one event must not prevent other events from running.
    private fun runSafely(task: Runnable) {
        try {
            task.run()
        } catch (e: Exception) {
            Log.error("event failed: $e at ${e.stackTrace.take(LOGGED_FRAMES)}")
        }
    }

    /** A task that runs on the loop at a set time unless it is cancelled first. */
    class Timer(
        internal val atNanos: Long,
        private val order: Long,
        internal val task: () -> Unit,
    ) : Comparable<Timer> {
        internal var cancelled = false

        /** Cancels the task; without effect if it has run. May be called on the loop only. */
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
            if (Thread.currentThread() === thread && prioritizesCompletions) queue.addFirst(command) else queue.add(command)
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

private const val NANOS_PER_MS = 1_000_000L

/** Maximum number of stack frames shown in a log line. */
private const val LOGGED_FRAMES = 6

/** Returns a scope for coroutines on the loop that live as long as the process. A coroutine that fails is logged and does not cancel the others. */
fun EventLoop.scope(): CoroutineScope =
    CoroutineScope(
        this + SupervisorJob() +
            CoroutineExceptionHandler { _, e ->
                Log.error("coroutine failed: $e at ${e.stackTrace.take(LOGGED_FRAMES)}")
            },
    )
