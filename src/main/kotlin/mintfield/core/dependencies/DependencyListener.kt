package mintfield.core.dependencies

/** Is notified of changes of a [DependencyGraph], within the call that makes them. */
interface DependencyListener {
    /** All predecessors of job [id] are done. */
    fun becameReady(id: String)

    /** A predecessor of job [id], direct or through others, is cancelled. */
    fun dependencyCancelled(id: String)
}
