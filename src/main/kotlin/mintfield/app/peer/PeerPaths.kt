package mintfield.app.peer

/** The HTTP paths of the peer port, all served with `POST`. */
internal object PeerPaths {
    const val STATUS = "/peer"
    const val HEARTBEAT = "/relay"
    const val USER_REQUEST = "/user"
    const val FOREIGN_TASKS = "/guests"
}
