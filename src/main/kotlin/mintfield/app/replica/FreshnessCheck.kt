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
 * Brings the replica up to date for many callers with few requests: each check serves all who were waiting when it was sent, and
 * checks are [gapMs] apart. A caller never relies on a check that was sent before its call, so reads are linearizable.
 */
internal class FreshnessCheck(
    private val scope: CoroutineScope,
    private val gapMs: Long,
    /** Brings the replica up to date; false without an answer of the state service. */
    private val check: suspend () -> Boolean,
) {
    private var waiters = ArrayList<CompletableDeferred<Boolean>>()
    private var isRunning = false

    /** Waits for a check that is sent after this call; false if it fails, or does not end in time. */
    suspend fun await(): Boolean {
        val answer = CompletableDeferred<Boolean>()
        waiters.add(answer)
        if (!isRunning) {
            isRunning = true
            scope.launch { checkWhileWanted() }
        }
        return withTimeoutOrNull(UserApiConstants.QUERY_TIMEOUT_MS) { answer.await() } ?: false
    }

    private suspend fun checkWhileWanted() {
        try {
            while (waiters.isNotEmpty()) {
                // Only who waited before a check was sent may rely on it.
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

    @Suppress("TooGenericExceptionCaught") // Whatever has failed, those who wait have to be answered.
    private suspend fun checkSafely(): Boolean =
        try {
            check()
        } catch (e: CancellationException) {
            throw e
        } catch (e: RuntimeException) {
            Log.error("check of the jobs failed: ${e.message}")
            false
        }
}
