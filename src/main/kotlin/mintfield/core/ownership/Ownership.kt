package mintfield.core.ownership

import mintfield.core.model.JobSpec

/** Which machines a leader may act for, and what it must know of the jobs of other leaders. */
interface Ownership {
    /** Whether this leader may act for [machine] now, provided that its lease lasts. */
    fun owns(machine: String): Boolean

    /** Whether new tasks may be started on [machine]. */
    fun mayStart(machine: String): Boolean

    /** The revision from which on the machine is this leader's; commands to it carry no lower token. */
    fun epoch(machine: String): Long

    /** Whether [machine] certainly has no owner: it is gone, with all that was planned on it. */
    fun isGone(machine: String): Boolean

    /** The specification of the unfinished job [job] of another shard; null if there is no such job. */
    fun foreignSpec(job: String): JobSpec?

    /** How many machines this leader is claiming. Until they are its own it provisions no further ones. */
    val claiming: Int

    /** How many more machines may be provisioned. */
    val scaleOutHeadroom: Int

    /** Whether an idle machine may be released to the cloud. */
    val maySpare: Boolean
}
