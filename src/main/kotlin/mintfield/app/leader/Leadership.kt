package mintfield.app.leader

/** The right to act as leader, as the parts of a leader see it. */
interface Leadership {
    /** Whether the leader's lease certainly holds now. Without it nothing may be written, sent or called. */
    fun mayAct(): Boolean

    /**
     * Reads the leader key after a precondition on it has failed: an own rewriting of it that got no answer may have been
     * applied, which raises the term. Otherwise another leader has been elected, and this one is deposed.
     */
    suspend fun checkLeaderKey()

    /** The state service no longer knows the lease on which the leader key hangs. */
    fun leaseExpired()
}
