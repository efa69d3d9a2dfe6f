package mintfield.io.settings

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.dataformat.toml.TomlFactory
import mintfield.core.model.Objective
import mintfield.core.model.Peer
import mintfield.core.model.Settings
import mintfield.core.model.StateLimits
import mintfield.core.model.Team
import mintfield.io.http.parseAddress
import mintfield.io.json.Json
import mintfield.io.json.asList
import mintfield.io.json.asMap
import mintfield.io.json.double
import mintfield.io.json.string
import java.io.File
import java.io.IOException

private typealias Table = Map<String, Any?>

/** One line for the operator: which field is wrong and what was expected. */
class SettingsFault(
    message: String,
) : Exception(message)

/** Reads the platform's TOML. Fields that are not known are ignored. */
object SettingsFile {
    fun read(path: String): Settings = parse(text(path), path)

    fun text(path: String): String =
        try {
            File(path).readText()
        } catch (e: IOException) {
            throw SettingsFault("$path: cannot be read (${e.message})")
        }

    fun parse(
        text: String,
        name: String,
    ): Settings = Reader(tree(text, name), name).settings()

    /** Read as a stream: a mapper would initialise date formats and serializers that nothing here needs, a quarter of a start. */
    private fun tree(
        text: String,
        name: String,
    ): Table =
        try {
            TomlFactory().createParser(text).use { parser ->
                parser.nextToken()
                Json.tree(parser).asMap() ?: emptyMap()
            }
        } catch (e: JsonProcessingException) {
            throw SettingsFault("$name: not valid TOML (${e.originalMessage})")
        }

    private class Reader(
        private val root: Table,
        private val name: String,
    ) {
        fun settings() =
            Settings(
                member = text(root, "member"),
                zone = text(root, "zone"),
                clientListen = address(root, "client_listen"),
                internalAddress = address(root, "internal_addr"),
                peers =
                    list(root, "siblings").map { it.asMap() ?: emptyMap() }.mapIndexed { i, n ->
                        val at = "siblings[$i]."
                        Peer(text(n, "member", at), text(n, "zone", at), address(n, "address", at))
                    },
                cloudAddress = address(at("outside"), "cloud", "outside."),
                stateAddress = address(at("outside"), "state", "outside."),
                zones = list(at("params"), "zones").map { it.toString() },
                teams = list(at("params"), "teams").map { it.asMap() ?: emptyMap() }.mapIndexed { i, n -> team(n, "params.teams[$i].") },
                objectives = list(at("params"), "objectives").map { it.asMap() ?: emptyMap() }.mapIndexed { i, n -> objective(n, "params.objectives[$i].") },
                heartbeatIntervalS = number(at("params.workers"), "report_s", "params.workers."),
                leaseS = number(at("params.workers"), "lease_s", "params.workers."),
                cancelS = number(at("params.workers"), "cancel_s", "params.workers."),
                stateRps = number(at("params.state"), "rps", "params.state."),
                stateWriteRps = number(at("params.state"), "write_rps", "params.state."),
                valueKb = number(at("params.state"), "value_kb", "params.state."),
                txnOps = number(at("params.state"), "txn_ops", "params.state.").toInt(),
                cloudRps = number(at("params.cloud"), "rps", "params.cloud."),
                listLagS = number(at("params.cloud"), "list_lag_s", "params.cloud."),
                maxSockets = number(at("params.resources"), "max_sockets", "params.resources.").toInt(),
                nextStateLimits = nextStateLimits(at("params.state")),
            )

        /** Each limit to come may be left out; it is then the present one. */
        private fun nextStateLimits(state: Table): StateLimits? {
            val value = state["next"] ?: return null
            val next = value.asMap() ?: throw SettingsFault("$name: params.state.next: expected a table, found $value")

            fun limit(field: String) = if (next[field] == null) number(state, field, "params.state.") else number(next, field, "params.state.next.")
            return StateLimits(limit("write_rps"), limit("value_kb"), limit("txn_ops").toInt())
        }

        private fun team(
            n: Table,
            where: String,
        ) = Team(
            text(n, "name", where),
            number(n, "cpus", where, zeroToo = true),
            number(n, "cpus_max", where, zeroToo = true),
            number(n, "gpus", where, zeroToo = true),
            number(n, "gpus_max", where, zeroToo = true),
        )

        private fun objective(
            n: Table,
            where: String,
        ) = Objective(
            text(n, "kind", where),
            n.string("class"),
            optional(n, "within_s"),
            optional(n, "share"),
            optional(n, "times"),
        )

        private fun at(path: String): Table {
            var node = root
            for (part in path.split('.')) node = node[part].asMap() ?: throw SettingsFault("$name: $path: expected a table, found nothing")
            return node
        }

        private fun list(
            n: Table,
            field: String,
        ): List<Any?> {
            val value = n[field] ?: return emptyList()
            return value.asList() ?: throw SettingsFault("$name: $field: expected a list")
        }

        private fun text(
            n: Table,
            field: String,
            where: String = "",
        ): String {
            val value = n[field] ?: throw SettingsFault("$name: $where$field: expected a string, found nothing")
            if (value !is String || value.isEmpty()) throw SettingsFault("$name: $where$field: expected a string, found $value")
            return value
        }

        private fun address(
            n: Table,
            field: String,
            where: String = "",
        ): String {
            val value = text(n, field, where)
            if (parseAddress(value) == null) throw SettingsFault("$name: $where$field: expected an IP number and port such as 10.0.0.1:8080, found $value")
            return value
        }

        private fun number(
            n: Table,
            field: String,
            where: String,
            zeroToo: Boolean = false,
        ): Double {
            val found = n[field] ?: throw SettingsFault("$name: $where$field: expected a number, found nothing")
            val wanted = if (zeroToo) "0 or more" else "more than 0"
            val value = n.double(field)
            if (value == null || !(value > 0 || (zeroToo && value == 0.0))) {
                throw SettingsFault("$name: $where$field: expected a number of $wanted, found $found")
            }
            return value
        }

        private fun optional(
            n: Table,
            field: String,
        ): Double? = n.double(field)
    }
}
