package mintfield.core.ownership

import mintfield.core.model.JobSpec

/**
 * The machines that the leader of [shard] acts for: those assigned to the shard in the replica [table], without those whose release has
 * been sent. Also holds the machines that the leader is claiming and those whose termination the cloud has confirmed. Lives as long as the
 * leader. Not thread-safe: used on the event loop only.
 */
class ShardOwnership(
    val shard: String,
    private val table: AssignmentTable,
    /** The number of machines at or below which idle machines are not released to the cloud. */
    private val floor: Int = 0,
    /** The number of machines up to which the shard provisions more. */
    private val ceiling: Int = Int.MAX_VALUE,
    /** Returns the specification of an unfinished job of another shard; null if there is no such job. */
    private val lookupForeignSpec: (String) -> JobSpec?,
) : Ownership {
    private val releasesUnderWay = HashSet<String>()
    private val claims = LinkedHashSet<String>()
    private val terminated = LinkedHashSet<String>()

    /** The machines that the leader is claiming. */
    val pendingClaims: Set<String> get() = claims

    /** Machines whose termination the cloud has confirmed and whose assignment is not deleted yet. */
    val terminatedMachines: Set<String> get() = terminated

    override val pendingClaimCount: Int get() = claims.size

    override val scaleOutHeadroom: Int get() = maxOf(0, ceiling - table.count(shard) - claims.size)

    override val mayReleaseIdle: Boolean get() = table.count(shard) > floor

    override fun owns(machine: String) = machine !in releasesUnderWay && table.assignment(machine).entitles(shard)

    override fun mayStart(machine: String) = owns(machine) && table.assignment(machine) is Assignment.Owned

    override fun epoch(machine: String) = (table.of(machine) as? KnownAssignment.Assigned)?.sinceRevision ?: 0L

    override fun isUnowned(machine: String) = machine !in claims && table.of(machine) == KnownAssignment.None

    override fun foreignSpec(job: String): JobSpec? = lookupForeignSpec(job)

    /** Records that the release of [machine] is about to be sent. The leader stops acting for the machine, since another shard may own it. */
    fun releaseSent(machine: String) {
        releasesUnderWay.add(machine)
    }

    /** Records that the outcome of the release of [machine] is known: the table includes it, or it was not applied and cannot be later. */
    fun releaseConfirmed(machine: String) {
        releasesUnderWay.remove(machine)
    }

    /** Whether a release of [machine] was sent whose outcome is not confirmed yet. */
    fun isReleaseUnderWay(machine: String) = machine in releasesUnderWay

    /** Adds [machines] to the pending claims. */
    fun addClaims(machines: Collection<String>) {
        claims.addAll(machines)
    }

    /** Removes [machine] from the pending claims. */
    fun removeClaim(machine: String) {
        claims.remove(machine)
    }

    /** Removes the pending claims to machines that have an assignment. */
    fun removeAssignedClaims() {
        claims.removeAll { it in table.assigned }
    }

    /** Records that the cloud has confirmed the termination of [machine]. */
    fun machineTerminated(machine: String) {
        terminated.add(machine)
    }

    /** Removes the terminated machines that the shard no longer owns. */
    fun forgetDroppedMachines() {
        terminated.removeAll { !table.assignment(it).entitles(shard) }
    }
}
