package mintfield.io.store

/** The keys of the store that all leaders share; see [LeaderKeys] for those of a leader. */
object Keys {
    /** Prefix of the records of jobs, live and final alike, so that one watch reports both. */
    const val JOBS = "mf/j/"

    /** Prefix of the records of jobs that have not ended. */
    const val LIVE = "mf/j/l/"

    /** Prefix of the final states of jobs. */
    const val FINAL = "mf/j/f/"

    /** Prefix of the blocks of the assignment table. */
    const val ASSIGNMENTS = "mf/a/"

    /** The set of drained controllers. It lies among the assignments so that one watch reports both. */
    const val DRAINED = ASSIGNMENTS + "drained"

    /** Prefix of the generations that the controllers run. */
    const val VERSIONS = "mf/v/"

    /** The key of the generation that the controller [member] runs. */
    fun version(member: String) = VERSIONS + member

    /** The key of the record of job [id] until it has ended. */
    fun live(id: String) = LIVE + id

    /** The key of the final state of job [id]. */
    fun final(id: String) = FINAL + id

    /** The key of the assignment table's block number [block]. */
    fun assignments(block: Int) = ASSIGNMENTS + block
}
