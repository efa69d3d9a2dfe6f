package mintfield.core.leadership

/**
 * Lets workers find out what an isolated leader cannot: whether there is another. Each is sent on once; one that finds a
 * new leader stays there, and one that comes back has found none, so that its lease hangs on us alone and is renewed.
 */
class IsolatedLeaderProbe(
    private val redirectIntervalMs: Long,
) {
    private val sentOnAtMs = HashMap<String, Long>()

    /** Whether the worker of [machine] is to look elsewhere now. */
    fun shouldRedirect(
        machine: String,
        nowMs: Long,
    ): Boolean {
        val last = sentOnAtMs[machine]
        if (last != null && nowMs - last < redirectIntervalMs) return false
        sentOnAtMs[machine] = nowMs
        return true
    }
}
