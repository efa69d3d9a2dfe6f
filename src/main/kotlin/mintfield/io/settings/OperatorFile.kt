package mintfield.io.settings

import com.bertramlabs.plugins.hcl4j.HCLParser
import com.bertramlabs.plugins.hcl4j.HCLParserException
import mintfield.core.model.LogFormat
import mintfield.core.model.OperatorSettings
import mintfield.core.ownership.ShardSettings
import mintfield.core.ownership.ShardingSettings

/** Reads the operators' own settings (HCL). Unlike the platform's file, a field that is not known is a mistake. */
object OperatorFile {
    fun read(path: String): OperatorSettings = parse(SettingsFile.text(path), path)

    fun parse(
        text: String,
        name: String,
    ): OperatorSettings {
        val root =
            try {
                HCLParser().parse(text)
            } catch (e: HCLParserException) {
                throw SettingsFault("$name: not valid HCL (${e.message})")
            }
        return Reader(name).settings(root)
    }

    private class Reader(
        private val name: String,
    ) {
        fun settings(root: Map<String, Any?>): OperatorSettings {
            known("", root, setOf("log", "tuning", "fleet", "sharing", "tracing"))
            val log = block(root, "log", setOf("format"))
            val tuning = block(root, "tuning", setOf("leader_lease_ms", "headroom", "idle_return_ms", "silent_return_ms"))
            val fleet = block(root, "fleet", setOf("machines"))
            val tracing = block(root, "tracing", setOf("file"))
            val defaults = OperatorSettings()
            return OperatorSettings(
                logFormat = format(log["format"]),
                leaderLeaseMs = number("tuning", tuning, "leader_lease_ms", 1_000.0, 600_000.0, defaults.leaderLeaseMs.toDouble()).toLong(),
                headroom = number("tuning", tuning, "headroom", 1.0, 10.0, defaults.headroom),
                idleReleaseMs = number("tuning", tuning, "idle_return_ms", 1_000.0, 86_400_000.0, defaults.idleReleaseMs.toDouble()).toLong(),
                unresponsiveReleaseMs = tuning["silent_return_ms"]?.let { number("tuning", tuning, "silent_return_ms", 12_000.0, 3_600_000.0, 0.0).toLong() },
                sharding = if ("sharing" in root) sharding(block(root, "sharing", setOf("share"))) else null,
                traceFile = if ("tracing" in root) traceFile(tracing["file"]) else null,
                fleetMachines = fleet["machines"]?.let { number("fleet", fleet, "machines", 1.0, 1_000_000.0, 0.0).toInt() },
            )
        }

        private fun traceFile(value: Any?): String =
            (value as? String)?.takeIf { it.isNotBlank() } ?: throw SettingsFault("$name: tracing.file: expected the name of a file, found $value")

        private fun sharding(map: Map<String, Any?>): ShardingSettings {
            val shards = block("sharing.", map, "share", null)
            if (shards.isEmpty()) throw SettingsFault("$name: sharing.share: expected at least one block, found none")
            return ShardingSettings(shards.keys.map { shard(it, block("sharing.share.", shards, it, setOf("home", "teams", "floor", "ceiling", "weight"))) })
        }

        private fun shard(
            shard: String,
            map: Map<String, Any?>,
        ): ShardSettings {
            val at = "sharing.share $shard"
            if (!SHARD_NAME.matches(shard)) throw SettingsFault("$name: $at: expected a name of letters, digits and dashes")
            val home = map["home"] as? String ?: throw SettingsFault("$name: $at.home: expected a controller's name, found ${map["home"]}")
            val teams = (map["teams"] as? List<*>)?.takeIf { list -> list.all { it is String } }
            val floor = number(at, map, "floor", 0.0, MOST_MACHINES, 0.0).toInt()
            val ceiling = number(at, map, "ceiling", 1.0, MOST_MACHINES, MOST_MACHINES).toInt()
            if (floor > ceiling) throw SettingsFault("$name: $at.floor: expected no more than the ceiling $ceiling, found $floor")
            return ShardSettings(
                shard,
                home,
                teams?.filterIsInstance<String>() ?: throw SettingsFault("$name: $at.teams: expected a list of teams' names, found ${map["teams"]}"),
                floor,
                ceiling,
                number(at, map, "weight", LEAST_WEIGHT, MOST_WEIGHT, ShardSettings.DEFAULT_WEIGHT),
            )
        }

        private fun block(
            root: Map<String, Any?>,
            field: String,
            fields: Set<String>,
        ): Map<String, Any?> = block("", root, field, fields)

        /** The block [field]; with [fields] null it may have any. */
        private fun block(
            where: String,
            root: Map<String, Any?>,
            field: String,
            fields: Set<String>?,
        ): Map<String, Any?> {
            val value = root[field] ?: return emptyMap()

            @Suppress("UNCHECKED_CAST")
            val map = value as? Map<String, Any?> ?: throw SettingsFault("$name: $where$field: expected a block")
            if (fields != null) known("$where$field.", map, fields)
            return map
        }

        private fun known(
            where: String,
            map: Map<String, Any?>,
            fields: Set<String>,
        ) {
            val strange = map.keys.firstOrNull { it !in fields } ?: return
            throw SettingsFault("$name: $where$strange: not known; expected one of ${fields.sorted().joinToString(", ")}")
        }

        private fun format(value: Any?): LogFormat =
            when (value) {
                null, "plain" -> LogFormat.PLAIN
                "json" -> LogFormat.JSON
                else -> throw SettingsFault("$name: log.format: expected plain or json, found $value")
            }

        private fun number(
            block: String,
            map: Map<String, Any?>,
            field: String,
            least: Double,
            most: Double,
            default: Double,
        ): Double {
            val value = map[field] ?: return default
            val found = (value as? Number)?.toDouble()
            if (found == null || found < least || found > most) {
                throw SettingsFault("$name: $block.$field: expected a number from $least to $most, found $value")
            }
            return found
        }

        private companion object {
            const val MOST_MACHINES = 1_000_000.0
            const val LEAST_WEIGHT = 0.01
            const val MOST_WEIGHT = 100.0
            val SHARD_NAME = Regex("[A-Za-z0-9-]{1,60}")
        }
    }
}
