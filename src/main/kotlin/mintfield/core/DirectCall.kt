package mintfield.core

import mintfield.core.model.WorkerCommand

/** Commands to be sent straight to a worker at [address], under the fencing token [term] and for its [incarnation] only. */
class DirectCall(
    val machine: String,
    val address: String,
    val term: Long,
    val incarnation: Long,
    val commands: List<WorkerCommand>,
)
