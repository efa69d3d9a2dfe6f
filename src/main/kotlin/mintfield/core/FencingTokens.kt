package mintfield.core

import mintfield.core.fleet.Machine
import mintfield.core.jobs.CommandCounters
import mintfield.core.ownership.Ownership

/**
 * The fencing tokens of a leader's commands, one for each machine. A worker obeys no command with a lower token than the highest that it
 * has seen.
 *
 * Tokens are revisions of the store. A token is at least the term at the election and the machine's ownership epoch, and at most
 * that of [highest]. Within these bounds it rises when the worker must refuse late copies of earlier commands. Not thread-safe, like
 * [Cluster].
 */
class FencingTokens(
    private val firstTerm: Long,
    private val ownership: Ownership,
    private val counters: CommandCounters,
) {
    /**
     * The highest revision of the store at which the leader key is known to have been unchanged. Each later leader writes the key after
     * it, so a token up to this revision is lower than all tokens of later leaders.
     */
    var confirmedRevision = firstTerm
        private set

    /** Whether the token of a machine must rise above [confirmedRevision]. */
    var raiseRequested = false
        private set

    /** Adopts [revision], at which a transaction with the leader key as its precondition was applied. */
    fun leadershipConfirmed(revision: Long) {
        confirmedRevision = maxOf(confirmedRevision, revision)
        raiseRequested = false
    }

    /** The token of commands to [machine]. */
    fun of(machine: Machine): Long = maxOf(firstTerm, machine.lease.token)

    /** The highest token that this leader may have sent to the machine [id]. A worker that has seen a higher one obeys another leader. */
    fun highest(id: String): Long = maxOf(confirmedRevision, ownership.epoch(id))

    /**
     * Whether the token of [machine] is above those of all direct starts sent to it, so that a worker which sees it refuses copies of them.
     * If it is not, raises it to [confirmedRevision], or requests a higher revision if that does not suffice.
     */
    fun fenceDirectStarts(machine: Machine): Boolean {
        val lease = machine.lease
        if (of(machine) > lease.directStartToken) return true
        if (confirmedRevision <= lease.directStartToken) {
            raiseRequested = true
            return false
        }
        lease.raiseToken(confirmedRevision)
        counters.tokenRaised()
        return true
    }
}
