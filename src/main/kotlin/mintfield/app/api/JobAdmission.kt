package mintfield.app.api

import mintfield.core.model.JobSpec
import mintfield.core.model.MachineType
import mintfield.core.model.Shape
import mintfield.core.model.Team
import mintfield.core.model.compatibleMachineTypes
import mintfield.io.worker.JobFields

/** Checks whether a submitted job can ever run, regardless of the current load. */
class JobAdmission(
    private val teams: List<Team>,
    /** Returns the machine types; empty until they have been read. */
    private val types: () -> Collection<MachineType>,
) {
    /** The result of a check. */
    sealed interface Result {
        /** The job can run on machines of [compatibleTypes]. */
        class Feasible(
            val compatibleTypes: List<String>,
        ) : Result

        /** The job can never run, because of [reason]. */
        class Infeasible(
            val reason: String,
        ) : Result

        /** The machine types have not been read yet. */
        data object TypesUnknown : Result
    }

    /** Checks [spec] against the configured teams, the machine types and the limits of its team. */
    fun check(spec: JobSpec): Result {
        val known = types()
        if (known.isEmpty()) return Result.TypesUnknown
        val compatibleTypes = compatibleMachineTypes(spec, known)
        val reason = infeasibilityReason(spec, compatibleTypes)
        return if (reason == null) Result.Feasible(compatibleTypes) else Result.Infeasible(reason)
    }

    private fun infeasibilityReason(
        spec: JobSpec,
        compatibleTypes: List<String>,
    ): String? {
        val team = teams.firstOrNull { it.name == spec.team }
        // A gang or a service runs all of its tasks at the same time.
        val concurrentTasks = if (spec.shape == Shape.ARRAY) 1 else spec.tasks
        return when {
            team == null -> "${JobFields.TEAM}: unknown team ${spec.team}"
            compatibleTypes.isEmpty() -> "a task fits no allowed machine type"
            exceeds(spec.cpus * concurrentTasks, team.cpusMax) -> "more CPUs than the limit of ${team.name}"
            exceeds(spec.gpus * concurrentTasks, team.gpusMax) -> "more cards than the limit of ${team.name}"
            else -> null
        }
    }

    /** Whether [demand] is above [limit]. A limit of 0 means unlimited. */
    private fun exceeds(
        demand: Double,
        limit: Double,
    ) = limit > 0 && demand > limit
}
