package mintfield.core.fleet

/** Life-cycle states of a machine as seen by its leader. */
enum class MachineState {
    /** Provisioned or known by name only; its worker has sent this leader no heartbeat. */
    PROVISIONING,

    /** Its worker sends heartbeats to this leader. */
    UP,

    /** No heartbeat within the timeout. It gets no new tasks; its attempts stay assigned to it until there is proof that they have ended. */
    UNRESPONSIVE,

    /** Due for release: it gets no new tasks. */
    RELEASING,

    /** The release call has been issued; the response is pending. */
    TERMINATING,

    /** The cloud has confirmed the release: everything on the machine has ended. */
    TERMINATED,

    /** Another shard owns it. Attempts that are planned there remain until the owner has reported their outcome. */
    OWNED_ELSEWHERE,
    ;

    /** Whether a machine in this state may move to [next]. */
    internal fun mayBecome(next: MachineState): Boolean = next in transitions.getValue(this)

    private companion object {
        val transitions =
            mapOf(
                PROVISIONING to setOf(UP, RELEASING, TERMINATED, OWNED_ELSEWHERE),
                UP to setOf(UNRESPONSIVE, RELEASING, TERMINATED, OWNED_ELSEWHERE),
                UNRESPONSIVE to setOf(UP, RELEASING, TERMINATED, OWNED_ELSEWHERE),
                RELEASING to setOf(UP, TERMINATING, TERMINATED),
                TERMINATING to setOf(RELEASING, TERMINATED),
                TERMINATED to emptySet(),
                OWNED_ELSEWHERE to setOf(PROVISIONING, TERMINATED),
            )
    }
}
