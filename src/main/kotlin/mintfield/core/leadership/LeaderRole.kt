package mintfield.core.leadership

/** The state machine of one controller's [Role]. Not thread-safe. */
class LeaderRole(
    private val log: (String) -> Unit,
) {
    var role = Role.SEEKING
        private set

    /** Name of the controller that leads, or null if that is not known. */
    var leader: String? = null
        private set

    /** The only place where the role changes. Throws [IllegalStateException] if the change to [next] is not allowed. */
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
