package mintfield.core.jobs

import mintfield.core.dependencies.DependencyListener
import mintfield.core.model.AcceptedJob

/** Is notified of the changes of a [JobReplica], after the replica shows them. */
interface JobListener : DependencyListener {
    /** The record of the unfinished [job] is new, or newer than before. */
    fun changed(job: AcceptedJob)

    /** The job [id] is not among the unfinished ones any more, or its record, which could not be read, is gone. */
    fun removed(id: String)
}
