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
 * The single thread on which everything of a controller runs: coroutines, timers and the completions of NIO.2 channels, which take
 * [executor] as theirs. State that is only touched on the loop needs no locks.
 *
 * A failing event is logged and does not end the loop.
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

    /** Starts the thread. */
    fun start() = thread.start()

    /** Waits until the loop has ended. */
    fun join() = thread.join()

    /** Ends the loop after the event that runs now; what is queued is dropped. */
    fun stop() {
        stopped = true
        queue.add(Runnable { })
    }

    /** Whether [ahead] is running; only used on the loop. */
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

    /** Queues [task]; may be called from any thread. */
    fun post(task: Runnable) {
        queue.add(task)
    }

    /** Steady time in milliseconds, from an arbitrary origin. */
    fun nowMs(): Long = System.nanoTime() / NANOS_PER_MS

    /** When this loop, and so most likely its process, began. */
    val startedAtMs = nowMs()

    /** Runs [task] on the loop after [delayMs]; only to be called on the loop. */
    fun after(
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

    @Suppress("TooGenericExceptionCaught") // Whatever one event fails with, the others must go on.
    private fun runSafely(task: Runnable) {
        try {
            task.run()
        } catch (e: Exception) {
            Log.error("event failed: $e at ${e.stackTrace.take(LOGGED_FRAMES)}")
        }
    }

    /** A task that runs on the loop at a set time, unless it is cancelled before. */
    class Timer(
        internal val atNanos: Long,
        private val order: Long,
        internal val task: () -> Unit,
    ) : Comparable<Timer> {
        internal var cancelled = false

        /** Keeps the task from running; without effect if it has run. Only to be called on the loop. */
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

private const val NANOS_PER_MS = 1_000_000L

/** Frames of a stack trace that a line of the log shows. */
private const val LOGGED_FRAMES = 6

/** A scope of coroutines on this loop that live as long as the process; one that fails is logged and does not end the others. */
fun EventLoop.scope(): CoroutineScope =
    CoroutineScope(
        this + SupervisorJob() +
            CoroutineExceptionHandler { _, e ->
                Log.error("coroutine failed: $e at ${e.stackTrace.take(LOGGED_FRAMES)}")
            },
    )
