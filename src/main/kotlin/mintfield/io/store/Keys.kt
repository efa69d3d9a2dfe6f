package mintfield.io.store

/** Names of the keys in the store that do not belong to one leader; see [LeaderKeys] for the others. */
object Keys {
    /** Both live jobs and final states, so that one watch brings both. */
    const val JOBS = "mf/j/"
    const val LIVE = "mf/j/l/"
    const val FINAL = "mf/j/f/"

    /** Blocks of the table of assignments, by number. */
    const val ASSIGNMENTS = "mf/a/"

    /** The controllers that operators have drained. Among the assignments, so that one watch brings both. */
    const val DRAINED = ASSIGNMENTS + "drained"

    /** The generation that each controller runs, by name. */
    const val VERSIONS = "mf/v/"

    fun version(member: String) = VERSIONS + member

    fun live(id: String) = LIVE + id

    fun final(id: String) = FINAL + id

    fun assignments(block: Int) = ASSIGNMENTS + block
}
