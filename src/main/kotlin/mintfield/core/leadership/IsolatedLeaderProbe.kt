package mintfield.core.leadership

/**
 * Uses redirects of workers to find out whether an isolated leader has been replaced. Each worker is redirected once per interval. A
 * worker that finds a new leader stays with it. A worker that returns has found none: its lease depends on this leader alone and is renewed.
 */
class IsolatedLeaderProbe(
    /** Minimum time between two redirects of the same worker, in milliseconds. */
    private val redirectIntervalMs: Long,
) {
    private val redirectedAtMs = HashMap<String, Long>()

    /** Whether to redirect the worker of [machine] now. Returning true counts as a redirect. */
    fun shouldRedirect(
        machine: String,
        nowMs: Long,
    ): Boolean {
        val lastMs = redirectedAtMs[machine]
        if (lastMs != null && nowMs - lastMs < redirectIntervalMs) return false
        redirectedAtMs[machine] = nowMs
        return true
    }
}
