package mintfield.io.settings

import com.bertramlabs.plugins.hcl4j.HCLParser
import com.bertramlabs.plugins.hcl4j.HCLParserException
import mintfield.core.model.LogFormat
import mintfield.core.model.OperatorSettings
import mintfield.core.ownership.ShardSettings
import mintfield.core.ownership.ShardingSettings

/**
 * Reads the operators' settings file (HCL). Unlike in the platform's file, an unknown field is an error.
 *
 * The names used in the file are mapped to those of [OperatorSettings]: a block `share` within the block `sharing` is a shard.
 */
object OperatorFile {
    /**
     * Reads the file at [path].
     *
     * @throws SettingsFault if the file cannot be read, or if a field is unknown or invalid
     */
    fun read(path: String): OperatorSettings = parse(SettingsFile.text(path), path)

    /**
     * Parses [text]; error messages use [name] as the name of the file.
     *
     * @throws SettingsFault if a field is unknown or invalid
     */
    fun parse(
        text: String,
        name: String,
    ): OperatorSettings {
        val root =
            try {
                HCLParser().parse(text)
            } catch (e: HCLParserException) {
                throw SettingsFault(name, "not valid HCL (${e.message})", e)
            }
        return settings(OperatorBlock(name, "", root, setOf("log", "tuning", "fleet", "sharing", "tracing")))
    }

    private fun settings(root: OperatorBlock): OperatorSettings {
        val log = root.block("log", setOf("format"))
        val tuning = root.block("tuning", setOf("leader_lease_ms", "headroom", "idle_return_ms", "silent_return_ms"))
        val fleet = root.block("fleet", setOf("machines"))
        val tracing = root.block("tracing", setOf("file"))
        val defaults = OperatorSettings()
        return OperatorSettings(
            logFormat = logFormat(log),
            leaderLeaseMs = tuning.number("leader_lease_ms", LEADER_LEASE_MS)?.toLong() ?: defaults.leaderLeaseMs,
            headroom = tuning.number("headroom", HEADROOM) ?: defaults.headroom,
            idleReleaseMs = tuning.number("idle_return_ms", IDLE_RELEASE_MS)?.toLong() ?: defaults.idleReleaseMs,
            unresponsiveReleaseMs = tuning.number("silent_return_ms", UNRESPONSIVE_RELEASE_MS)?.toLong(),
            sharding = if ("sharing" in root) sharding(root.block("sharing", setOf("share"))) else null,
            traceFile = if ("tracing" in root) traceFile(tracing) else null,
            fleetMachines = fleet.number("machines", FLEET_MACHINES)?.toInt(),
        )
    }

    private fun logFormat(log: OperatorBlock): LogFormat =
        when (val value = log["format"]) {
            null, "plain" -> LogFormat.PLAIN
            "json" -> LogFormat.JSON
            else -> log.fault("format", "expected plain or json, found $value")
        }

    private fun traceFile(tracing: OperatorBlock): String {
        val value = tracing["file"]
        return (value as? String)?.takeIf { it.isNotBlank() } ?: tracing.fault("file", "expected the name of a file, found $value")
    }

    private fun sharding(sharing: OperatorBlock): ShardingSettings {
        val blocks = sharing.block("share", known = null)
        if (blocks.fields.isEmpty()) sharing.fault("share", "expected at least one block, found none")
        return ShardingSettings(blocks.fields.map { shard(it, blocks.labelledBlock(it, setOf("home", "teams", "floor", "ceiling", "weight"))) })
    }

    private fun shard(
        name: String,
        block: OperatorBlock,
    ): ShardSettings {
        if (!SHARD_NAME.matches(name)) block.fault("expected a name of letters, digits and dashes")
        val home = block["home"] as? String ?: block.fault("home", "expected a controller's name, found ${block["home"]}")
        val floor = block.number("floor", FLOOR)?.toInt() ?: 0
        val ceiling = (block.number("ceiling", CEILING) ?: MAX_MACHINES).toInt()
        if (floor > ceiling) block.fault("floor", "expected no more than the ceiling $ceiling, found $floor")
        return ShardSettings(name, home, teams(block), floor, ceiling, block.number("weight", WEIGHT) ?: ShardSettings.DEFAULT_WEIGHT)
    }

    private fun teams(block: OperatorBlock): List<String> {
        val value = block["teams"]
        val names = (value as? List<*>)?.filterIsInstance<String>()
        if (names == null || names.size < value.size) block.fault("teams", "expected a list of teams' names, found $value")
        return names
    }

    private const val MAX_MACHINES = 1_000_000.0
    private val LEADER_LEASE_MS = 1_000.0..600_000.0
    private val HEADROOM = 1.0..10.0
    private val IDLE_RELEASE_MS = 1_000.0..86_400_000.0
    private val UNRESPONSIVE_RELEASE_MS = 12_000.0..3_600_000.0
    private val FLEET_MACHINES = 1.0..MAX_MACHINES
    private val FLOOR = 0.0..MAX_MACHINES
    private val CEILING = 1.0..MAX_MACHINES
    private val WEIGHT = 0.01..100.0
    private val SHARD_NAME = Regex("[A-Za-z0-9-]{1,60}")
}
