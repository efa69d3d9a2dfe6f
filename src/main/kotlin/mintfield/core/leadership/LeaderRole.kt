package mintfield.core.leadership

/** State machine of a controller's [Role]. Not thread-safe. */
class LeaderRole(
    private val log: (String) -> Unit,
) {
    var role = Role.SEEKING
        private set

    /** Name of the leading controller, or null if unknown. */
    var leader: String? = null
        private set

    /**
     * Changes the role to [next] and the known leader to [leader]. All role changes go through this function.
     * Throws [IllegalStateException] if the transition is not allowed.
     */
    fun moveTo(
        next: Role,
        leader: String?,
    ) {
        check(next in allowed.getValue(role)) { "role transition not allowed: $role to $next" }
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
