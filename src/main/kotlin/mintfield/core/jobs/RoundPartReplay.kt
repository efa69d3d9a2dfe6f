package mintfield.core.jobs

import mintfield.core.Cluster
import mintfield.core.fleet.FleetManager
import mintfield.core.fleet.Machine

/** Applies the parts of round records to the state of a new leader. Not thread-safe, like [Cluster]. */
internal class RoundPartReplay(
    private val cluster: Cluster,
    private val fleet: FleetManager,
) {
    /**
     * Replaces the known state of the tasks that [part] states on [job]. [keepsReleases]: see [RoundRecord.keepsReleases]. Parts must be
     * applied in the order in which their records were written.
     */
    fun apply(
        part: RoundPart,
        job: Job,
        keepsReleases: Boolean,
        nowMs: Long,
    ) {
        part.released.forEach { index -> releaseAttempt(job, index, nowMs) }
        part.plans.forEach { applyPlan(job, it, nowMs) }
        part.done.forEach { applyDone(job, it, nowMs) }
        if (!keepsReleases) markUnconfirmedPlans(job, part)
    }

    private fun releaseAttempt(
        job: Job,
        index: Int,
        nowMs: Long,
    ) {
        job.attempt(index)?.let { cluster.release(it, nowMs, Cluster.SUPERSEDED) }
    }

    private fun applyDone(
        job: Job,
        index: Int,
        nowMs: Long,
    ) {
        if (index >= job.spec.tasks) return
        releaseAttempt(job, index, nowMs)
        job.progress.setDone(index)
        job.progress.recordDone(index)
    }

    private fun applyPlan(
        job: Job,
        group: PlannedGroup,
        nowMs: Long,
    ) {
        val machine = cluster.machines[group.machine] ?: unknownMachine(group.machine, job, nowMs) ?: return
        for (index in group.indices) {
            if (index >= job.spec.tasks || job.progress.isDone(index)) continue
            releaseAttempt(job, index, nowMs)
            if (group.incarnation < machine.incarnation) continue
            val attempt = cluster.occupy(job, index, group.attempt, machine, group.incarnation)
            attempt.startSent = true
            attempt.moveTo(AttemptState.PLANNED, nowMs)
        }
    }

    /** Adds a machine known only from a plan: its type is provisional until a heartbeat or the cloud's list states it. */
    private fun unknownMachine(
        id: String,
        job: Job,
        nowMs: Long,
    ): Machine? {
        val type = job.compatibleTypes.firstNotNullOfOrNull { cluster.types[it] } ?: cluster.types.values.firstOrNull() ?: return null
        val zone = job.spec.zone ?: type.zones.firstOrNull() ?: return null
        if (!cluster.ownership.owns(id)) return fleet.registry.addOwnedElsewhere(id, type, zone, nowMs)
        return fleet.registry.getOrAdd(id, type.name, zone, false, nowMs)?.also { it.origin.markProvisional() }
    }

    /** Marks the plans of the chunk of [part] that [part] does not state: a deleted record may have released them. */
    private fun markUnconfirmedPlans(
        job: Job,
        part: RoundPart,
    ) {
        val stated = part.indices.toSet()
        job.activeAttempts.filter { TaskChunks.of(it.index) == part.chunk && it.index !in stated }.forEach(Attempt::markUnconfirmed)
    }
}
