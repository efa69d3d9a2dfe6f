package mintfield.core

import mintfield.core.fleet.FleetManager
import mintfield.core.fleet.MachineState
import mintfield.core.jobs.JobHealth

/** Formats the leader's periodic log line: jobs, attempts by state, machines by state and free CPUs. */
internal fun clusterSummary(
    cluster: Cluster,
    fleet: FleetManager,
    nowMs: Long,
): String {
    val machines = cluster.machines.values
    val jobs = cluster.jobs.values
    val machinesByState = machines.groupingBy { it.state }.eachCount()
    val freeCpus = machines.filter { it.state == MachineState.UP }.sumOf { it.freeCpus }
    val suspectJobs = cluster.unprovenJobs.count { it.health == JobHealth.SUSPECT }
    val waitingTasks = jobs.filter { !it.cancelled && it.ready }.sumOf { it.waitingCount }
    val dependentJobs = jobs.count { !it.cancelled && !it.ready }
    val attemptsByState =
        machines
            .flatMap { it.attempts }
            .groupingBy { it.state }
            .eachCount()
    return "term ${cluster.term}: ${jobs.size} jobs, $suspectJobs of them suspect, $dependentJobs wait for predecessors, " +
        "attempts $attemptsByState, $waitingTasks waiting, machines $machinesByState, ${fleet.overdueCount(nowMs)} overdue, ${freeCpus.toInt()} CPUs free, " +
        cluster.commandCounters.describe()
}
