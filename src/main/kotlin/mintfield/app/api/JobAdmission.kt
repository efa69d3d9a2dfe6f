package mintfield.app.api

import mintfield.core.model.JobSpec
import mintfield.core.model.MachineType
import mintfield.core.model.Shape
import mintfield.core.model.Team
import mintfield.core.model.compatibleMachineTypes
import mintfield.io.worker.JobFields

/** Checks whether a submitted job can ever run. */
class JobAdmission(
    private val teams: List<Team>,
    /** The machine types; empty while they are not known. */
    private val types: () -> Collection<MachineType>,
) {
    /** The result of a check. */
    sealed interface Result {
        /** The job can run, on machines of [compatibleTypes]. */
        class Possible(
            val compatibleTypes: List<String>,
        ) : Result

        /** The job can never run, for the [reason] given. */
        class Impossible(
            val reason: String,
        ) : Result

        /** The machine types are not known yet. */
        data object TypesUnknown : Result
    }

    /** Checks the team, the machine types and the team's ceiling. */
    fun check(spec: JobSpec): Result {
        val known = types()
        if (known.isEmpty()) return Result.TypesUnknown
        val compatibleTypes = compatibleMachineTypes(spec, known)
        val reason = obstacle(spec, compatibleTypes)
        return if (reason == null) Result.Possible(compatibleTypes) else Result.Impossible(reason)
    }

    private fun obstacle(
        spec: JobSpec,
        compatibleTypes: List<String>,
    ): String? {
        val team = teams.firstOrNull { it.name == spec.team }
        // A gang or a service needs all of its tasks at once.
        val atOnce = if (spec.shape == Shape.ARRAY) 1 else spec.tasks
        return when {
            team == null -> "${JobFields.TEAM}: unknown team ${spec.team}"
            compatibleTypes.isEmpty() -> "a task fits no allowed machine type"
            exceeds(spec.cpus * atOnce, team.cpusMax) -> "more CPUs than the limit of ${team.name}"
            exceeds(spec.gpus * atOnce, team.gpusMax) -> "more cards than the limit of ${team.name}"
            else -> null
        }
    }

    /** Whether [demand] is above [ceiling], where 0 means that there is none. */
    private fun exceeds(
        demand: Double,
        ceiling: Double,
    ) = ceiling > 0 && demand > ceiling
}
