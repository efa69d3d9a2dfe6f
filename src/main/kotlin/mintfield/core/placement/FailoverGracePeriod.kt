package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState
import mintfield.core.jobs.Job

/**
 * The first seconds after a failover, in which most machines have not yet sent a heartbeat to the new leader. Jobs whose image is on one
 * of these machines wait for it: placed on the first machine to send a heartbeat, a task would often wait half a minute for its image,
 * although a machine that has the image sends its heartbeat within a second or two.
 */
internal class FailoverGracePeriod(
    private val cluster: Cluster,
    nowMs: Long,
) {
    /** An image and whether it may be used on spot machines. */
    private data class ImageUse(
        val image: String,
        val spot: Boolean,
    )

    private val isActive = nowMs - cluster.replayedAtMs < cluster.timings.failoverGraceMs
    private val expectedByUse = HashMap<ImageUse, Boolean>()

    /** Whether tasks of [job] must be placed on machines that have their image. */
    fun appliesTo(job: Job): Boolean {
        if (!isActive) return false
        val spec = job.spec
        return expectedByUse.getOrPut(ImageUse(spec.image, spec.spot)) {
            cluster.machines.values.any { isExpected(it) && it.images.has(spec.image) && (!it.spot || spec.spot) }
        }
    }

    /**
     * Whether [machine] will probably accept tasks soon: it has sent no heartbeat since the failover, or only heartbeats of an earlier term,
     * which may be delayed copies.
     */
    private fun isExpected(machine: Machine) =
        machine.state == MachineState.PROVISIONING || (machine.state == MachineState.UP && machine.termSeen < machine.lease.requiredTerm)
}
