package mintfield.app.leader

import mintfield.core.leadership.LeaseClock
import mintfield.io.json.Json
import mintfield.io.store.Entry

/** What one won election gave to its winner: the leader key at revision [term], which hangs on the store lease [lease]. */
class LeaderTenure(
    /** The revision of the leader key at the election; it rises when the key is rewritten. */
    val term: Long,
    val lease: Long,
    /** Distinguishes the winner's process from an earlier one of the same controller. */
    private val nonce: String,
    private val member: String,
    /** For how much longer the lease certainly holds. */
    val clock: LeaseClock,
) {
    /** The value of the leader key. */
    fun keyValue(): ByteArray = leaderValue(member, nonce)

    /** Whether the leader key's [entry] was written in this tenure. */
    fun owns(entry: Entry): Boolean = entry.data["nonce"] == nonce && entry.lease == lease

    /** How the leader key is written, also before the election is won. */
    companion object {
        /** The value of the leader key while the process [nonce] of [member] leads. */
        fun leaderValue(
            member: String,
            nonce: String,
        ): ByteArray =
            Json.obj {
                writeStringField("member", member)
                writeStringField("nonce", nonce)
            }
    }
}
