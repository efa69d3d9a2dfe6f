package mintfield.core.leadership

import mintfield.core.constants.LeadershipConstants

enum class Role {
    /** Looks who leads. */
    SEEKING,

    /** Knows a leader and watches its key. */
    FOLLOWING,

    /** Tries to become the leader. */
    CANDIDATE,

    /** Leads. */
    LEADING,
}

/** A member's part in the leadership; every change of it goes through [moveTo]. */
class LeaderRole(
    private val log: (String) -> Unit,
) {
    var role = Role.SEEKING
        private set

    /** Who leads, as far as is known. */
    var leader: String? = null
        private set

    fun moveTo(
        next: Role,
        leader: String?,
    ) {
        check(next in allowed.getValue(role)) { "$role to $next" }
        if (next != role || leader != this.leader) log("$role becomes $next, leader ${leader ?: "unknown"}")
        role = next
        this.leader = leader
    }

    private companion object {
        val allowed =
            mapOf(
                Role.SEEKING to setOf(Role.SEEKING, Role.FOLLOWING, Role.CANDIDATE),
                Role.FOLLOWING to setOf(Role.FOLLOWING, Role.SEEKING, Role.CANDIDATE),
                Role.CANDIDATE to setOf(Role.SEEKING, Role.LEADING),
                Role.LEADING to setOf(Role.SEEKING),
            )
    }
}

/**
 * How long a leader may act. The lease is counted from the *sending* of its last successful renewal, less drift and
 * margin, so that it ends here before it can end in the store.
 */
class LeaseClock(
    private val lifeMs: Long,
    grantedSentAtMs: Long,
) {
    private var sentAtMs = grantedSentAtMs

    fun renewed(renewalSentAtMs: Long) {
        sentAtMs = maxOf(sentAtMs, renewalSentAtMs)
    }

    fun leftMs(nowMs: Long): Long = sentAtMs + (lifeMs * (1 - LeadershipConstants.MAX_CLOCK_DRIFT)).toLong() - LeadershipConstants.LEASE_MARGIN_MS - nowMs

    fun mayAct(nowMs: Long) = leftMs(nowMs) > 0
}
