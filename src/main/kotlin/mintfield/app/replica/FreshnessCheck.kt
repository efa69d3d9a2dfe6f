package mintfield.app.replica

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import mintfield.core.constants.UserApiConstants
import mintfield.io.loop.Log

/**
 * Brings the replica up to date for many callers with few requests: each check serves all callers that were waiting when it was sent, and
 * successive checks are [gapMs] apart. A caller never relies on a check that was sent before its call, so reads are linearizable.
 */
internal class FreshnessCheck(
    private val scope: CoroutineScope,
    private val gapMs: Long,
    /** Brings the replica up to date; false if the store does not respond. */
    private val check: suspend () -> Boolean,
) {
    private var waiters = ArrayList<CompletableDeferred<Boolean>>()
    private var isRunning = false

    /** Waits for a check that is sent after this call; false if the check fails or times out. */
    suspend fun await(): Boolean {
        val result = CompletableDeferred<Boolean>()
        waiters.add(result)
        if (!isRunning) {
            isRunning = true
            scope.launch { serveWaiters() }
        }
        return withTimeoutOrNull(UserApiConstants.QUERY_TIMEOUT_MS) { result.await() } ?: false
    }

    private suspend fun serveWaiters() {
        try {
            while (waiters.isNotEmpty()) {
                // Only callers that were waiting before a check was sent may rely on it.
                val batch = waiters
                waiters = ArrayList()
                val succeeded = checkSafely()
                batch.forEach { it.complete(succeeded) }
                if (waiters.isNotEmpty()) delay(gapMs)
            }
        } finally {
            isRunning = false
        }
    }

    @Suppress("TooGenericExceptionCaught") // After any failure, the waiting callers must get a result.
    private suspend fun checkSafely(): Boolean =
        try {
            check()
        } catch (e: CancellationException) {
            throw e
        } catch (e: RuntimeException) {
            Log.error("freshness check of the job replica failed: ${e.message}")
            false
        }
}
