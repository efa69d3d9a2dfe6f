package mintfield.core

import mintfield.core.model.WorkerCommand

/** Commands sent directly to the worker at [address], with the fencing token [term]. They are valid only for its [incarnation]. */
class DirectCall(
    val machine: String,
    val address: String,
    val term: Long,
    val incarnation: Long,
    val commands: List<WorkerCommand>,
)
