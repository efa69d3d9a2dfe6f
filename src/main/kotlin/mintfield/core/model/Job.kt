package mintfield.core.model

enum class Shape { ARRAY, GANG, SERVICE }

/** In order of rank: the first may displace the later ones. */
enum class Priority { PRODUCTION, HIGH, NORMAL, IDLE }

/** What a job's owner asked for; never changes after the submission. */
data class JobSpec(
    val id: String,
    val jobClass: String,
    val team: String,
    val shape: Shape,
    val priority: Priority,
    val tasks: Int,
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val image: String,
    val imageGb: Double,
    val types: List<String>?,
    val zone: String?,
    val oneZone: Boolean,
    val spread: Boolean,
    val spot: Boolean,
    val estimateS: Double,
    val checkpointS: Double,
    val saveS: Double,
    val deadlineS: Double?,
    /** The jobs that must be done before any task of this one starts. */
    val predecessors: List<String> = emptyList(),
)

/** What a user is told of a job. */
enum class JobPhase { PENDING, RUNNING, DONE, CANCELLED }

/** How a job ended; never changes. [tasks] is how many of its tasks are done. */
data class FinalState(
    val stage: JobPhase,
    val tasks: Int,
    /** Time of day in milliseconds; 0 if it was not recorded. */
    val endedAtMs: Long = 0,
)

/** A job as the store has it: [revision] is its revision, [acceptedAtMs] the time of day of its acceptance. */
data class AcceptedJob(
    val spec: JobSpec,
    val revision: Long,
    val acceptedAtMs: Long,
    val cancelled: Boolean,
    /** Recorded output of the `fits` step: the types that could hold a task when the job was accepted. */
    val compatibleTypes: List<String>,
)

data class MachineType(
    val name: String,
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val cacheGb: Double,
    val fetchGbPerS: Double,
    val price: Double,
    val spotPrice: Double,
    val bootS: Double,
    val zones: List<String>,
)

/** A task is named by its job and number. */
data class TaskId(
    val job: String,
    val index: Int,
) {
    override fun toString() = "$job/$index"

    companion object {
        fun parse(text: String): TaskId? {
            val slash = text.lastIndexOf('/')
            if (slash <= 0) return null
            val index = text.substring(slash + 1).toIntOrNull() ?: return null
            return TaskId(text.substring(0, slash), index)
        }
    }
}

/** Types on which a task of [spec] could run at all. */
fun compatibleMachineTypes(
    spec: JobSpec,
    types: Collection<MachineType>,
): List<String> =
    types
        .filter { t ->
            (spec.types == null || t.name in spec.types) &&
                (spec.zone == null || spec.zone in t.zones) &&
                spec.cpus <= t.cpus &&
                spec.gpus <= t.gpus &&
                spec.memoryGb <= t.memoryGb
        }.map { it.name }
