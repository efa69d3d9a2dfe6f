package mintfield.core.fleet

/** Whether what a leader sends to a machine arrives there, as far as the machine's heartbeats show. */
enum class ReachabilityState {
    /** Nothing speaks against it. */
    REACHABLE,

    /** The last response seems to be lost, as happens now and then. The machine gets no new tasks for the moment. */
    SUSPECT,

    /** Several responses in a row were lost. The machine gets no new tasks and is probed from time to time. */
    UNREACHABLE,
}
