package mintfield.core

import mintfield.core.model.JobSpec
import mintfield.core.model.Settings
import mintfield.core.model.Team
import kotlin.math.floor

/** The teams with their quotas, and how much their tasks occupy now. */
class TeamQuotas(
    settings: Settings,
) {
    /** What the tasks of one team occupy on all machines. */
    class Usage {
        var cpus = 0.0
            private set
        var gpus = 0.0
            private set

        internal fun add(spec: JobSpec) {
            cpus += spec.cpus
            gpus += spec.gpus
        }

        internal fun subtract(spec: JobSpec) {
            cpus = maxOf(0.0, cpus - spec.cpus)
            gpus = maxOf(0.0, gpus - spec.gpus)
        }
    }

    private val usageByTeam = HashMap<String, Usage>()
    private val teams = settings.teams.associateBy { it.name }

    /** The team [name]; null if the settings do not have it. */
    fun team(name: String): Team? = teams[name]

    /** What the tasks of [team] occupy now. */
    fun usage(team: String): Usage = usageByTeam.getOrPut(team) { Usage() }

    /** How many further tasks of [spec] the ceiling of its team allows now; none if the team is unknown. */
    fun allowance(spec: JobSpec): Int {
        val team = teams[spec.team] ?: return 0
        val used = usage(spec.team)
        var allowed = Int.MAX_VALUE
        if (team.cpusMax > 0 && spec.cpus > 0) allowed = minOf(allowed, tasksThatFit(team.cpusMax - used.cpus, spec.cpus))
        if (team.gpusMax > 0 && spec.gpus > 0) allowed = minOf(allowed, tasksThatFit(team.gpusMax - used.gpus, spec.gpus))
        return allowed
    }

    private fun tasksThatFit(
        free: Double,
        each: Double,
    ): Int = maxOf(0, floor((free + ROUNDING_TOLERANCE) / each).toInt())

    private companion object {
        /** Amounts are sums of decimal fractions; a difference this small is due to rounding. */
        const val ROUNDING_TOLERANCE = 1e-6
    }
}
