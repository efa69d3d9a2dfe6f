package mintfield.core.dependencies

/** Listener for changes of a [DependencyGraph]. It is called synchronously, within the call that changes the graph. */
interface DependencyListener {
    /** Called when all predecessors of job [id] are done. */
    fun becameReady(id: String)

    /** Called when a direct or transitive predecessor of job [id] is cancelled. */
    fun dependencyCancelled(id: String)
}
