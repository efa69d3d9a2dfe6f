package mintfield.core.ownership

import mintfield.core.model.Settings

/** A part of the machines with the teams whose jobs run on it; its leader schedules these jobs and acts for these machines. */
data class ShardSettings(
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
data class ShardingSettings(
    val shards: List<ShardSettings>,
) {
    private val byTeam = shards.flatMap { shard -> shard.teams.map { it to shard } }.toMap()

    fun shard(name: String): ShardSettings? = shards.firstOrNull { it.name == name }

    /** The share whose leader schedules the jobs of [team]. */
    fun ofTeam(team: String): ShardSettings? = byTeam[team]

    /** What does not fit the platform's [settings]: a field and the reason; null if all does. */
    fun problem(settings: Settings): String? {
        val members = settings.peers.map { it.member } + settings.member
        val teams = settings.teams.map { it.name }
        for (shard in shards) {
            val at = "sharing.share ${shard.name}"
            if (shard.home !in members) return "$at.home: expected one of ${members.sorted().joinToString(", ")}, found ${shard.home}"
            shard.teams.firstOrNull { it !in teams }?.let { return "$at.teams: expected some of ${teams.joinToString(", ")}, found $it" }
        }
        val owned = shards.flatMap { it.teams }
        owned.firstOrNull { team -> owned.count { it == team } > 1 }?.let { return "sharing.share: team $it is in more than one share" }
        return teams.firstOrNull { it !in owned }?.let { "sharing.share: team $it is in no share" }
    }
}
