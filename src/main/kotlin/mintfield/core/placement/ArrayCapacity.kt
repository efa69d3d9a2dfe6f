package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.fleet.MachineState

/** CPUs of the machines that are up, without those that replicas of services occupy. */
internal fun arrayCapacity(cluster: Cluster): Double {
    var cpus = 0.0
    for (machine in cluster.machines.values) {
        if (machine.state != MachineState.UP) continue
        cpus += machine.type.cpus - machine.occupancy.serviceCpus
    }
    return cpus
}
