package mintfield.app.peer

/** The paths that controllers call at each other, all with `POST`. */
internal object PeerPaths {
    const val STATUS = "/peer"
    const val HEARTBEAT = "/relay"
    const val USER_REQUEST = "/user"
    const val FOREIGN_TASKS = "/guests"
}
