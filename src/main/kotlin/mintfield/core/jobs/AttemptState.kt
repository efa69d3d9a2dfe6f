package mintfield.core.jobs

/** The state of an [Attempt]. */
enum class AttemptState {
    /** Chosen; the write of the plan is under way. Nothing may be sent. */
    PLANNING,

    /** The plan is written; a start may be sent, and repeated. */
    PLANNED,

    /** A start was sent; nothing has been seen of it. */
    STARTING,

    /** Reported as waiting for its image. */
    PULLING,

    /** Reported as running. */
    RUNNING,

    /** To be gone: stopped wherever it shows up, released once it is proven to be absent. */
    STOPPING,

    /** Released by proof, or never sent. Final. */
    RELEASED,
}
