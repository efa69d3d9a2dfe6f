package mintfield.core.jobs

import mintfield.core.fleet.Machine
import mintfield.core.model.Heartbeat

/**
 * Whether this heartbeat of [machine] proves that each task missing from it is not on the machine and will not appear there later.
 *
 * A direct start without a response may still be carried out minutes later. A worker refuses it only after it has seen a higher term
 * than that of the start.
 */
internal fun Heartbeat.provesAbsence(machine: Machine): Boolean = termSeen > machine.lease.unacknowledgedTerm && !machine.directRoute.inFlight
