package mintfield.core.ownership

import mintfield.core.model.Settings

/** A part of the machines with the teams whose jobs run on it; its leader schedules these jobs and acts for these machines. */
data class ShareSettings(
    val name: String,
    /** The controller that should lead it while it is up. */
    val home: String,
    val teams: List<String>,
    /** Machines below which none is taken from it, or returned as idle. */
    val floor: Int = 0,
    /** Machines above which it rents no more. */
    val ceiling: Int = Int.MAX_VALUE,
    /** Its part of the machines, beside the weights of the others, while all want more than there are. */
    val weight: Double = DEFAULT_WEIGHT,
) {
    companion object {
        const val DEFAULT_WEIGHT = 1.0
    }
}

/** How operators divide the machines among the controllers. Every team belongs to one share, so its limit is kept in one place. */
data class SharingSettings(
    val shares: List<ShareSettings>,
) {
    private val byTeam = shares.flatMap { share -> share.teams.map { it to share } }.toMap()

    fun share(name: String): ShareSettings? = shares.firstOrNull { it.name == name }

    /** The share whose leader schedules the jobs of [team]. */
    fun ofTeam(team: String): ShareSettings? = byTeam[team]

    /** What does not fit the platform's [settings]: a field and the reason; null if all does. */
    fun problem(settings: Settings): String? {
        val members = settings.siblings.map { it.member } + settings.member
        val teams = settings.teams.map { it.name }
        for (share in shares) {
            val at = "sharing.share ${share.name}"
            if (share.home !in members) return "$at.home: expected one of ${members.sorted().joinToString(", ")}, found ${share.home}"
            share.teams.firstOrNull { it !in teams }?.let { return "$at.teams: expected some of ${teams.joinToString(", ")}, found $it" }
        }
        val owned = shares.flatMap { it.teams }
        owned.firstOrNull { team -> owned.count { it == team } > 1 }?.let { return "sharing.share: team $it is in more than one share" }
        return teams.firstOrNull { it !in owned }?.let { "sharing.share: team $it is in no share" }
    }
}
