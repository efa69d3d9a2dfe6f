package mintfield.core.jobs

/** The state of an [Attempt]. An attempt occupies its machine in every state except [RELEASED]. */
enum class AttemptState {
    /** Placed on a machine; the plan is not yet written to the store, and no start may be sent. */
    PLANNING,

    /** The plan is written; a start may be sent and repeated. */
    PLANNED,

    /** A start was sent; no heartbeat has shown the task yet. */
    STARTING,

    /** Reported by the worker as waiting for its image. */
    PULLING,

    /** Reported by the worker as running. */
    RUNNING,

    /** Being ended: stopped whenever a heartbeat shows it, released once it is proven to be absent. */
    STOPPING,

    /** Proven to have ended, or its start was never sent. Final. */
    RELEASED,
}
