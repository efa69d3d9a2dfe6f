package mintfield.core.model

/** The specification of a job, as its owner submitted it. It never changes. */
data class JobSpec(
    /** The job's id, chosen by the user, such as `wk-000412`. */
    val id: String,
    /** The class of the job; objectives apply to classes. */
    val jobClass: String,
    /** The team whose guaranteed quota and quota ceiling apply. */
    val team: String,
    val shape: Shape,
    val priority: Priority,
    /** Number of tasks, 1 or more; they are numbered from 0. */
    val tasks: Int,
    /** CPUs that each task uses of its machine. */
    val cpus: Double,
    /** GPUs that each task uses of its machine. */
    val gpus: Double,
    /** Memory that each task uses of its machine, in GB. */
    val memoryGb: Double,
    /** The image that a machine must hold before a task can run on it. */
    val image: String,
    /** Size of the image, in GB. */
    val imageGb: Double,
    /** The permitted machine types; null for any. */
    val types: List<String>?,
    /** The only permitted zone; null for any. */
    val zone: String?,
    /** Whether all tasks must be in the same zone. */
    val oneZone: Boolean,
    /** Whether at most half of the tasks, rounded up, may be in one zone. */
    val spread: Boolean,
    /** Whether spot machines are permitted. */
    val spot: Boolean,
    /** The owner's estimate of a task's run time without the fetch of the image, in seconds; 0 for a service. It is often wrong. */
    val estimateS: Double,
    /** Seconds of progress after which a running task saves a checkpoint; 0 if it never saves and loses its work when it is stopped. */
    val checkpointS: Double,
    /** Seconds that a task takes to save a checkpoint when it is stopped. */
    val saveS: Double,
    /** Seconds after the submission within which the job should be complete; null without a deadline. */
    val deadlineS: Double?,
    /** The ids of the jobs that must be done before any task of this job starts. */
    val predecessors: List<String> = emptyList(),
)
