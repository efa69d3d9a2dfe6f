package mintfield.app.leader

/** The leadership of a [Leader], for use by its components. */
interface Leadership {
    /** Whether the leader's lease is certain to hold now. If not, no commit, command or cloud call may be sent. */
    fun mayAct(): Boolean

    /**
     * Reads the leader key after a precondition on it has failed. If this leader's own rewrite of the key was applied without a
     * response, the term rises to the key's revision. Otherwise another leader has been elected, and this one is deposed.
     */
    suspend fun checkLeaderKey()

    /** Deposes the leader, because the lease that the leader key was attached to no longer exists in the store. */
    fun leaseExpired()
}
