package mintfield.core.ownership

import mintfield.core.model.Settings

/**
 * The operators' settings for sharding. Every team belongs to exactly one shard, so that a single leader enforces its quota.
 */
data class ShardingSettings(
    val shards: List<ShardSettings>,
) {
    private val shardByTeam = shards.flatMap { shard -> shard.teams.map { it to shard } }.toMap()

    /** The settings of the shard [name]; null if it is not configured. */
    fun shard(name: String): ShardSettings? = shards.firstOrNull { it.name == name }

    /** The shard whose leader schedules the jobs of [team]; null for an unknown team. */
    fun ofTeam(team: String): ShardSettings? = shardByTeam[team]

    /** The first conflict with the platform's [settings]; null if there is none. */
    fun problem(settings: Settings): ShardingSettingsProblem? {
        val controllers = settings.peers.map { it.member } + settings.member
        val teams = settings.teams.map { it.name }
        return shards.firstNotNullOfOrNull { shardProblem(it, controllers, teams) } ?: teamProblem(teams)
    }

    private fun shardProblem(
        shard: ShardSettings,
        controllers: List<String>,
        teams: List<String>,
    ): ShardingSettingsProblem? {
        val field = "sharing.share ${shard.name}"
        if (shard.home !in controllers) {
            val expected = controllers.sorted().joinToString(", ")
            return ShardingSettingsProblem("$field.home", "expected one of $expected, found ${shard.home}")
        }
        val unknownTeam = shard.teams.firstOrNull { it !in teams } ?: return null
        return ShardingSettingsProblem("$field.teams", "expected some of ${teams.joinToString(", ")}, found $unknownTeam")
    }

    private fun teamProblem(teams: List<String>): ShardingSettingsProblem? {
        val owned = shards.flatMap { it.teams }
        val ownedTwice = owned.firstOrNull { team -> owned.count { it == team } > 1 }
        if (ownedTwice != null) return ShardingSettingsProblem("sharing.share", "team $ownedTwice is in more than one share")
        val unowned = teams.firstOrNull { it !in owned } ?: return null
        return ShardingSettingsProblem("sharing.share", "team $unowned is in no share")
    }
}
