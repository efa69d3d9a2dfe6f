package mintfield.core.jobs

import mintfield.core.fleet.Machine
import mintfield.core.model.Heartbeat

/**
 * Whether this heartbeat of [machine] proves that a task which it lacks is not on the machine and will not appear there any more.
 *
 * A direct start that got no answer may be carried out minutes later. Only a worker that has seen a term above that of the
 * start rejects it.
 */
internal fun Heartbeat.provesAbsence(machine: Machine): Boolean = termSeen > machine.lease.unacknowledgedTerm && !machine.directRoute.inFlight
