package mintfield.core.ownership

import mintfield.core.model.JobSpec

/** Which machines a leader may act for, and what it must know of the jobs of others. */
interface Ownership {
    /** Whether this leader may act for [machine] now, apart from its lease. */
    fun owns(machine: String): Boolean

    /** Whether new tasks may be started on [machine]. */
    fun mayStart(machine: String): Boolean

    /** The revision from which on the machine is this leader's; commands to it carry no lower token. */
    fun epoch(machine: String): Long

    /** Whether [machine] certainly has no owner: what was planned there is gone with it. */
    fun isGone(machine: String): Boolean

    /** The description of a job that another share's leader schedules, or null. */
    fun foreignSpec(job: String): JobSpec?

    /** Machines that the cloud has provisioned to this leader and that are not its own yet; it may not rent on meanwhile. */
    val claiming: Int

    /** How many more machines may be provisioned. */
    val scaleOutHeadroom: Int

    /** Whether a machine that is idle may be returned. */
    val maySpare: Boolean
}

/** One leader owns all machines and schedules all jobs. */
object WholeFleet : Ownership {
    override fun owns(machine: String) = true

    override fun mayStart(machine: String) = true

    override fun epoch(machine: String) = 0L

    override fun isGone(machine: String) = false

    override fun foreignSpec(job: String): JobSpec? = null

    override val claiming get() = 0

    override val scaleOutHeadroom get() = Int.MAX_VALUE

    override val maySpare get() = true
}

/** The part of the machines that the leader of [shard] acts for, by its replica of the assignments. */
class ShardOwnership(
    val shard: String,
    private val table: AssignmentTable,
    private val floor: Int = 0,
    private val ceiling: Int = Int.MAX_VALUE,
    /** The description of any unfinished job of another share. */
    private val lookupForeignSpec: (String) -> JobSpec?,
) : Ownership {
    /** Machines whose release is under way: from the moment its transaction is sent they may be another's. */
    private val lettingGo = HashSet<String>()

    /** Machines to be claimed. */
    val toClaim = LinkedHashSet<String>()

    override val claiming: Int get() = toClaim.size

    override val scaleOutHeadroom: Int get() = maxOf(0, ceiling - table.count(shard) - toClaim.size)

    override val maySpare: Boolean get() = table.count(shard) > floor

    override fun owns(machine: String) = machine !in lettingGo && table.assignment(machine).entitles(shard)

    override fun mayStart(machine: String) = owns(machine) && table.assignment(machine) is Assignment.Owned

    override fun epoch(machine: String) = (table.of(machine) as? KnownAssignment.Assigned)?.sinceRevision ?: 0L

    override fun isGone(machine: String) = machine !in toClaim && table.of(machine) == KnownAssignment.None

    override fun foreignSpec(job: String): JobSpec? = lookupForeignSpec(job)

    /** Stops acting for [machine], since its release is about to be sent. */
    fun letGo(machine: String) {
        lettingGo.add(machine)
    }

    /** The release of [machine] was certainly not carried out, or what became of it is known. */
    fun letGoEnded(machine: String) {
        lettingGo.remove(machine)
    }

    fun isLettingGo(machine: String) = machine in lettingGo
}
