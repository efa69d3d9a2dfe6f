package mintfield.core.fleet

/** How a machine became known: from the cloud's list, a former owner, or a recorded plan. Times are in milliseconds of monotonic time. */
class MachineOrigin {
    /** Whether only the name is known, from a plan or the assignment table. Type, zone and spot are guesses until a heartbeat or the list has them. */
    var provisional = false
        private set

    /** Time at which the machine was provisioned or, if that is unknown, became known to this leader. */
    var firstSeenAtMs = 0L
        private set

    /** Time at which the cloud's list first contained the machine; [Machine.NEVER] if it has not yet. */
    var firstListedAtMs = Machine.NEVER
        private set

    /** Time at which the cloud's list last contained the machine; [Machine.NEVER] if it has not yet. */
    var listedAtMs = Machine.NEVER
        private set

    /** Time of the adoption from another owner. An adopted machine most likely has tasks, so it must send a heartbeat soon. */
    var adoptedAtMs = Machine.NEVER
        private set

    /** Whether the machine was adopted from another owner and was not seen booting since. */
    val isAdopted: Boolean get() = adoptedAtMs != Machine.NEVER

    /** Marks type, zone and spot of the machine as guesses. */
    fun markProvisional() {
        provisional = true
    }

    /** Sets the time since which the machine is known to exist. */
    fun setFirstSeen(atMs: Long) {
        firstSeenAtMs = atMs
    }

    /** Records that a page of the cloud's list contains the machine. */
    fun recordListed(nowMs: Long) {
        if (firstListedAtMs == Machine.NEVER) firstListedAtMs = nowMs
        listedAtMs = nowMs
    }

    /** Records the adoption from another owner at [atMs]; [Machine.NEVER] for none. */
    fun recordAdoption(atMs: Long) {
        adoptedAtMs = atMs
    }

    /** Clears the adoption of a machine that is still booting: no task of a former owner can be on it. */
    fun clearAdoption() {
        adoptedAtMs = Machine.NEVER
    }
}
