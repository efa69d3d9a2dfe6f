package mintfield.app.leader

import mintfield.core.leadership.LeaseClock
import mintfield.io.json.Json
import mintfield.io.store.Entry

/** Result of a won election: the leader key at revision [term], attached to the lease [lease] of the store. */
class LeaderTenure(
    /** Revision of the leader key when the election was won. The scheduler's term rises with each rewrite of the key. */
    val term: Long,
    val lease: Long,
    /** Distinguishes the leader's process from earlier processes of the same controller. */
    private val nonce: String,
    private val controller: String,
    /** Computes for how long the lease is certain to hold. */
    val clock: LeaseClock,
) {
    /** The value of the leader key during this tenure. */
    fun keyValue(): ByteArray = leaderValue(controller, nonce)

    /** Whether [entry], read from the leader key, was written by this process and is attached to the lease of this tenure. */
    fun owns(entry: Entry): Boolean = entry.data["nonce"] == nonce && entry.lease == lease

    /** Encodes the value of the leader key, which is needed before a tenure exists. */
    companion object {
        /** The value of the leader key while the process [nonce] of [controller] leads. */
        fun leaderValue(
            controller: String,
            nonce: String,
        ): ByteArray =
            Json.obj {
                writeStringField("member", controller)
                writeStringField("nonce", nonce)
            }
    }
}
