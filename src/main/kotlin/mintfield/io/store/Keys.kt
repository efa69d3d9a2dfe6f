package mintfield.io.store

/** The keys of the store that all leaders share. [LeaderKeys] has the keys that belong to one leader. */
object Keys {
    /** Common prefix of the records of live jobs and of final states, so that one watch covers both. */
    const val JOBS = "mf/j/"

    /** Prefix of the records of live jobs: those that have not ended. */
    const val LIVE = "mf/j/l/"

    /** Prefix of the final states of jobs. */
    const val FINAL = "mf/j/f/"

    /** Prefix of the blocks of the assignment table. */
    const val ASSIGNMENTS = "mf/a/"

    /** The key of the set of drained controllers. It begins with [ASSIGNMENTS] so that one watch covers both. */
    const val DRAINED = ASSIGNMENTS + "drained"

    /** Prefix of the records of the generations that the controllers run. */
    const val GENERATIONS = "mf/v/"

    /** The key of the generation that [controller] runs. */
    fun generation(controller: String) = GENERATIONS + controller

    /** The key of the record of job [id] while it is live. */
    fun live(id: String) = LIVE + id

    /** The key of the final state of job [id]. */
    fun final(id: String) = FINAL + id

    /** The key of block number [block] of the assignment table. */
    fun assignments(block: Int) = ASSIGNMENTS + block
}
