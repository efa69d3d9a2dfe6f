package mintfield.core.ownership

import mintfield.core.model.JobSpec

/**
 * The machines that the leader of [shard] acts for: those that its replica of the assignments gives to the shard, less those whose release
 * has been sent. It also holds the machines that the leader wants to claim, and those that it terminated. Lives as long as the leader; to
 * be used on the event loop only.
 */
class ShardOwnership(
    val shard: String,
    private val table: AssignmentTable,
    /** Machines below which the shard releases none. */
    private val floor: Int = 0,
    /** Machines above which the shard provisions no more. */
    private val ceiling: Int = Int.MAX_VALUE,
    /** The specification of an unfinished job of another shard. */
    private val lookupForeignSpec: (String) -> JobSpec?,
) : Ownership {
    private val releasesUnderWay = HashSet<String>()
    private val claims = LinkedHashSet<String>()
    private val terminated = LinkedHashSet<String>()

    /** The machines that the leader wants to claim. */
    val pendingClaims: Set<String> get() = claims

    /** The machines that the cloud has terminated and whose assignment has yet to end. */
    val terminatedMachines: Set<String> get() = terminated

    override val claiming: Int get() = claims.size

    override val scaleOutHeadroom: Int get() = maxOf(0, ceiling - table.count(shard) - claims.size)

    override val maySpare: Boolean get() = table.count(shard) > floor

    override fun owns(machine: String) = machine !in releasesUnderWay && table.assignment(machine).entitles(shard)

    override fun mayStart(machine: String) = owns(machine) && table.assignment(machine) is Assignment.Owned

    override fun epoch(machine: String) = (table.of(machine) as? KnownAssignment.Assigned)?.sinceRevision ?: 0L

    override fun isGone(machine: String) = machine !in claims && table.of(machine) == KnownAssignment.None

    override fun foreignSpec(job: String): JobSpec? = lookupForeignSpec(job)

    /** The release of [machine] is about to be sent. From now on another shard may own it, so the leader stops acting for it. */
    fun releaseSent(machine: String) {
        releasesUnderWay.add(machine)
    }

    /** The table shows what became of the release of [machine], or it was certainly not applied. */
    fun releaseSettled(machine: String) {
        releasesUnderWay.remove(machine)
    }

    /** Whether a release of [machine] was sent and is not settled. */
    fun isReleaseUnderWay(machine: String) = machine in releasesUnderWay

    /** The leader wants to claim [machines]. */
    fun addClaims(machines: Collection<String>) {
        claims.addAll(machines)
    }

    /** [machine] need not be claimed any more. */
    fun removeClaim(machine: String) {
        claims.remove(machine)
    }

    /** Forgets the claims to machines that have an assignment by now. */
    fun removeAssignedClaims() {
        claims.removeAll { it in table.assigned }
    }

    /** The cloud has confirmed that [machine] is gone. */
    fun machineTerminated(machine: String) {
        terminated.add(machine)
    }

    /** Forgets the terminated machines that the shard does not own any more. */
    fun forgetDroppedMachines() {
        terminated.removeAll { !table.assignment(it).entitles(shard) }
    }
}
