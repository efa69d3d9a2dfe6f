package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState
import mintfield.core.jobs.Job

/**
 * Decides which jobs wait for their image in the first seconds after a failover, when most machines have not sent the new leader a
 * heartbeat yet. A task that is placed on the first machine that has would often wait half a minute for its image, though a machine that
 * has the image is heard of within a second or two.
 */
internal class FailoverSettling(
    private val cluster: Cluster,
    nowMs: Long,
) {
    /** An image, and whether it may be used on spot machines. */
    private data class ImageUse(
        val image: String,
        val spot: Boolean,
    )

    private val underWay = nowMs - cluster.replayedAtMs < cluster.timings.failoverGraceMs
    private val expectedByUse = HashMap<ImageUse, Boolean>()

    /** Whether tasks of [job] are to be placed only where their image is. */
    fun appliesTo(job: Job): Boolean {
        if (!underWay) return false
        val spec = job.spec
        return expectedByUse.getOrPut(ImageUse(spec.image, spec.spot)) {
            cluster.machines.values.any { isExpected(it) && it.images.has(spec.image) && (!it.spot || spec.spot) }
        }
    }

    /** Whether [machine] has sent no heartbeat since the failover, or only what may be a late copy: it will most likely take tasks soon. */
    private fun isExpected(machine: Machine) =
        machine.state == MachineState.PROVISIONING || (machine.state == MachineState.UP && machine.termSeen < machine.lease.requiredTerm)
}
