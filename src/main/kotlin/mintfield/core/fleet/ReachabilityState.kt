package mintfield.core.fleet

/** Whether responses and commands of the leader reach a machine, judged by its heartbeats. */
enum class ReachabilityState {
    /** No evidence of lost responses. */
    REACHABLE,

    /** The last response appears to be lost, which happens occasionally. The machine gets no new tasks for the moment. */
    SUSPECT,

    /** Several responses in a row were lost. The machine gets no new tasks and is probed periodically. */
    UNREACHABLE,
}
