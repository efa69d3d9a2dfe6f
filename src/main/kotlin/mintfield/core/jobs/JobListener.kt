package mintfield.core.jobs

import mintfield.core.dependencies.DependencyListener
import mintfield.core.model.AcceptedJob

/** Listener for changes of a [JobReplica], called after each change is applied to the replica. */
interface JobListener : DependencyListener {
    /** The record of the unfinished [job] was created or updated. */
    fun onJobChanged(job: AcceptedJob)

    /** The record of job [id] was removed: the job is no longer unfinished, or its unreadable record was deleted. */
    fun onJobRemoved(id: String)
}
