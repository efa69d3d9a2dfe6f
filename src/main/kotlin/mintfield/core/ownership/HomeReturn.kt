package mintfield.core.ownership

import mintfield.core.Tuning

/**
 * When a controller gives a share back to its home: once the home has been up, and served by the state service, for a while. Without that the
 * shares of controllers that were restarted one after the other would all end with one.
 */
class HomeReturn(
    private val member: String,
) {
    private val upSinceMs = HashMap<String, Long>()

    /** Whether [share], which this controller leads, is to be given back now; [homeUp] tells whether its home is up and served. */
    fun due(
        share: ShareSettings,
        homeUp: Boolean,
        nowMs: Long,
    ): Boolean {
        if (share.home == member || !homeUp) {
            upSinceMs.remove(share.name)
            return false
        }
        val since = upSinceMs.getOrPut(share.name) { nowMs }
        if (nowMs - since < Tuning.HOME_RETURN_MS) return false
        // Another try, should the home not take it, comes no sooner.
        upSinceMs[share.name] = nowMs
        return true
    }
}
