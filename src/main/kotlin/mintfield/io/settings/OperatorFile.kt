package mintfield.io.settings

import com.bertramlabs.plugins.hcl4j.HCLParser
import com.bertramlabs.plugins.hcl4j.HCLParserException
import mintfield.core.model.LogFormat
import mintfield.core.model.OperatorSettings

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
            known("", root, setOf("log", "tuning", "fleet"))
            val log = block(root, "log", setOf("format"))
            val tuning = block(root, "tuning", setOf("leader_lease_ms", "headroom", "idle_return_ms", "silent_return_ms"))
            val fleet = block(root, "fleet", setOf("machines"))
            val defaults = OperatorSettings()
            return OperatorSettings(
                logFormat = format(log["format"]),
                leaderLeaseMs = number("tuning", tuning, "leader_lease_ms", 1_000.0, 600_000.0, defaults.leaderLeaseMs.toDouble()).toLong(),
                headroom = number("tuning", tuning, "headroom", 1.0, 10.0, defaults.headroom),
                idleReturnMs = number("tuning", tuning, "idle_return_ms", 1_000.0, 86_400_000.0, defaults.idleReturnMs.toDouble()).toLong(),
                silentReturnMs = tuning["silent_return_ms"]?.let { number("tuning", tuning, "silent_return_ms", 12_000.0, 3_600_000.0, 0.0).toLong() },
                fleetMachines = fleet["machines"]?.let { number("fleet", fleet, "machines", 1.0, 1_000_000.0, 0.0).toInt() },
            )
        }

        private fun block(
            root: Map<String, Any?>,
            field: String,
            fields: Set<String>,
        ): Map<String, Any?> {
            val value = root[field] ?: return emptyMap()

            @Suppress("UNCHECKED_CAST")
            val map = value as? Map<String, Any?> ?: throw SettingsFault("$name: $field: expected a block")
            known("$field.", map, fields)
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
    }
}
