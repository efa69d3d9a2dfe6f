package mintfield.core.ownership

import mintfield.core.model.JobSpec

/** The set of machines that a leader may act for, with the limits on its number of machines and the jobs of other shards. */
interface Ownership {
    /** Whether this leader may act for [machine]. The caller checks that the leader's lease lasts. */
    fun owns(machine: String): Boolean

    /** Whether new tasks may be started on [machine]. */
    fun mayStart(machine: String): Boolean

    /** The revision since which the shard owns [machine], 0 if unknown. Commands to the machine carry at least this fencing token. */
    fun epoch(machine: String): Long

    /** Whether [machine] certainly has no owner: no assignment, and no claim of this leader. Assignments are deleted only after termination. */
    fun isUnowned(machine: String): Boolean

    /** The specification of the unfinished job [job] of another shard; null if there is no such job. */
    fun foreignSpec(job: String): JobSpec?

    /** The number of machines that this leader is claiming. It provisions no more machines until it owns all of them. */
    val pendingClaimCount: Int

    /** The number of machines that may still be provisioned. */
    val scaleOutHeadroom: Int

    /** Whether an idle machine may be released to the cloud: the shard is above its floor. */
    val mayReleaseIdle: Boolean
}
