package mintfield.core.fleet

/** The lease under which a worker keeps its tasks, as far as its leader can know it. Times are steady milliseconds. */
class WorkerLease {
    /** The latest moment at which the lease can have begun; [Machine.NEVER] if this leader has not renewed it. */
    var renewedAtMs = Machine.NEVER
        private set

    /** Whether this leader has given or renewed the lease, so that it knows when it ends. */
    val isKnown: Boolean get() = renewedAtMs != Machine.NEVER

    /** A heartbeat is answered, and the answer may arrive. */
    fun renew(nowMs: Long) {
        renewedAtMs = nowMs
    }

    /** A new incarnation has shown up, whose lease began with it. Counted from the last answer alone it would end too early. */
    fun restart(nowMs: Long) {
        renewedAtMs = maxOf(renewedAtMs, nowMs)
    }

    /** Takes over the state of [other], the lease of the same machine under another description. */
    fun copyFrom(other: WorkerLease) {
        renewedAtMs = other.renewedAtMs
    }

    /** Whether the lease is known and began longer than [expiryMs] ago. */
    fun hasExpired(
        nowMs: Long,
        expiryMs: Long,
    ): Boolean = isKnown && nowMs - renewedAtMs > expiryMs
}
