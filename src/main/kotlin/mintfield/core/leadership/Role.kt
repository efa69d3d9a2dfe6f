package mintfield.core.leadership

/** The role of a controller in the election of a leader. */
enum class Role {
    /** Reads the leader key to find out who leads. */
    SEEKING,

    /** Knows the leader and watches the leader key. */
    FOLLOWING,

    /** Tries to write the leader key. */
    CANDIDATE,

    /** Holds the leader key, on a lease. */
    LEADING,
}
