package mintfield.core.fleet

/** How a machine became known: by the cloud's list, from a former owner, or from a plan that names it. Times are steady milliseconds. */
class MachineOrigin {
    /** Known by name only, from a plan or the assignment table: type, zone and kind are guesses until a heartbeat or the list gives them. */
    var provisional = false
        private set

    /** When the machine was provisioned, or otherwise when this leader learned of it. */
    var firstSeenAtMs = 0L
        private set

    /** When the cloud's list first had it. */
    var firstListedAtMs = Machine.NEVER
        private set

    /** When the cloud's list last had it. */
    var listedAtMs = Machine.NEVER
        private set

    /** When it was adopted from another owner: it then most likely has tasks, and so must send a heartbeat soon. */
    var adoptedAtMs = Machine.NEVER
        private set

    /** Whether it was adopted from another owner and is not known to have booted since. */
    val isAdopted: Boolean get() = adoptedAtMs != Machine.NEVER

    /** Type, zone and kind of the machine are guesses. */
    fun markProvisional() {
        provisional = true
    }

    /** The machine exists since [atMs] as far as is known. */
    fun seenSince(atMs: Long) {
        firstSeenAtMs = atMs
    }

    /** A page of the cloud's list has the machine. */
    fun listed(nowMs: Long) {
        if (firstListedAtMs == Machine.NEVER) firstListedAtMs = nowMs
        listedAtMs = nowMs
    }

    /** The machine was adopted at [atMs]. */
    fun adopted(atMs: Long) {
        adoptedAtMs = atMs
    }

    /** The machine still boots, so nothing of a former owner can be on it. */
    fun clearAdoption() {
        adoptedAtMs = Machine.NEVER
    }
}
