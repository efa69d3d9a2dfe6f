package mintfield.core.leadership

/**
 * Lets workers find out what an isolated leader cannot: whether there is another leader. Each worker is redirected once. One that finds a new
 * leader stays there; one that comes back has found none, so that its lease depends on this leader alone and is renewed.
 */
class IsolatedLeaderProbe(
    /** Milliseconds between two redirects of the same worker. */
    private val redirectIntervalMs: Long,
) {
    private val redirectedAtMs = HashMap<String, Long>()

    /** Whether the worker of [machine] is to be redirected now. True counts as a redirect. */
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
