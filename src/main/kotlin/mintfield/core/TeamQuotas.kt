package mintfield.core

import mintfield.core.model.JobSpec
import mintfield.core.model.Settings
import mintfield.core.model.Team
import kotlin.math.floor

/** The teams with their quotas and the current usage of each. */
class TeamQuotas(
    settings: Settings,
) {
    /** Resources occupied by the tasks of one team on all machines. */
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

    /** The team [name], or null if it is not in the settings. */
    fun team(name: String): Team? = teams[name]

    /** Resources currently occupied by the tasks of [team]. */
    fun usage(team: String): Usage = usageByTeam.getOrPut(team) { Usage() }

    /** Whether team [name] has a limit. */
    fun isLimited(name: String): Boolean = teams[name]?.let { it.cpusMax > 0 || it.gpusMax > 0 } ?: false

    /** Number of further tasks of [spec] that its team's quota currently allows; 0 if the team is unknown. */
    fun allowance(spec: JobSpec): Int {
        val team = teams[spec.team] ?: return 0
        val used = usage(spec.team)
        var allowed = Int.MAX_VALUE
        if (team.cpusMax > 0 && spec.cpus > 0) allowed = minOf(allowed, tasksThatFit(team.cpusMax - used.cpus, spec.cpus))
        if (team.gpusMax > 0 && spec.gpus > 0) allowed = minOf(allowed, tasksThatFit(team.gpusMax - used.gpus, spec.gpus))
        return allowed
    }

    /** The teams whose tasks occupy more than their limits, each with its usage. */
    fun exceeded(): Map<Team, Usage> = teams.values.filter { !allows(it.name, cpus = 0.0, gpus = 0.0) }.associateWith { usage(it.name) }

    /** Whether team [name] would stay within its limits if its tasks occupied [cpus] and [gpus] more. */
    fun allows(
        name: String,
        cpus: Double,
        gpus: Double,
    ): Boolean {
        val team = teams[name] ?: return true
        val used = usage(name)
        return !isAbove(used.cpus + cpus, team.cpusMax) && !isAbove(used.gpus + gpus, team.gpusMax)
    }

    private fun isAbove(
        used: Double,
        limit: Double,
    ): Boolean = limit > 0 && used > limit + ROUNDING_TOLERANCE

    private fun tasksThatFit(
        free: Double,
        each: Double,
    ): Int = maxOf(0, floor((free + ROUNDING_TOLERANCE) / each).toInt())

    private companion object {
        /** Largest difference attributed to rounding: amounts are sums of decimal fractions. */
        const val ROUNDING_TOLERANCE = 1e-6
    }
}
