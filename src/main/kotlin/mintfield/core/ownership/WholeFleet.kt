package mintfield.core.ownership

import mintfield.core.model.JobSpec

/** Ownership without sharding: a single leader owns all machines and schedules all jobs. */
object WholeFleet : Ownership {
    override fun owns(machine: String) = true

    override fun mayStart(machine: String) = true

    override fun epoch(machine: String) = 0L

    override fun isUnowned(machine: String) = false

    override fun foreignSpec(job: String): JobSpec? = null

    override val pendingClaimCount get() = 0

    override val scaleOutHeadroom get() = Int.MAX_VALUE

    override val mayReleaseIdle get() = true
}
