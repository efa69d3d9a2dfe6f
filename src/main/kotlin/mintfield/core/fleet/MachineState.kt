package mintfield.core.fleet

/** The stages of a machine's life as its leader knows them. */
enum class MachineState {
    /** Provisioned or known by name only; its worker has sent this leader no heartbeat. */
    PROVISIONING,

    /** Its worker sends heartbeats. */
    UP,

    /** Its heartbeats have stopped. It gets no new tasks; what it holds stays assigned to it until there is proof that it is gone. */
    UNRESPONSIVE,

    /** To be released: it gets no new tasks. */
    RELEASING,

    /** The cloud has been asked to release it; the answer is outstanding. */
    TERMINATING,

    /** The cloud has confirmed that it and everything on it are gone. */
    TERMINATED,

    /** Another shard owns it. What is planned there stays so until its owner has answered what became of it. */
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
