package mintfield.io.settings

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.dataformat.toml.TomlFactory
import mintfield.core.model.Objective
import mintfield.core.model.Peer
import mintfield.core.model.Settings
import mintfield.core.model.StateLimits
import mintfield.core.model.Team
import mintfield.io.json.Json
import mintfield.io.json.asMap
import java.io.File
import java.io.IOException

/**
 * Reads the platform's settings file (TOML). Unknown fields are ignored, as the platform may add fields.
 *
 * The names used in the file are mapped to those of [Settings]: `siblings` are peers, `outside` contains the external services, and the
 * `share` of an objective is its target fraction.
 */
object SettingsFile {
    /**
     * Reads the file at [path].
     *
     * @throws SettingsFault if the file cannot be read, or if a required field is missing or invalid
     */
    fun read(path: String): Settings = parse(text(path), path)

    /**
     * Reads the text of the file at [path].
     *
     * @throws SettingsFault if the file cannot be read
     */
    fun text(path: String): String =
        try {
            File(path).readText()
        } catch (e: IOException) {
            throw SettingsFault(path, "cannot be read (${e.message})", e)
        }

    /**
     * Parses [text]; error messages use [name] as the name of the file.
     *
     * @throws SettingsFault if a required field is missing or invalid
     */
    fun parse(
        text: String,
        name: String,
    ): Settings = settings(SettingsTable(name, tree(text, name)))

    /** Parses with the streaming API: an object mapper would initialise date formats and serializers that are not needed, and slow down each start. */
    private fun tree(
        text: String,
        name: String,
    ): Map<String, Any?> =
        try {
            TomlFactory().createParser(text).use { parser ->
                parser.nextToken()
                Json.tree(parser).asMap() ?: emptyMap()
            }
        } catch (e: JsonProcessingException) {
            throw SettingsFault(name, "not valid TOML (${e.originalMessage})", e)
        }

    private fun settings(root: SettingsTable) =
        Settings(
            member = root.text("member"),
            zone = root.text("zone"),
            clientListen = root.address("client_listen"),
            internalAddress = root.address("internal_addr"),
            peers = root.tables("siblings").map { Peer(it.text("member"), it.text("zone"), it.address("address")) },
            cloudAddress = root.table("outside").address("cloud"),
            stateAddress = root.table("outside").address("state"),
            zones = root.table("params").list("zones").map { it.toString() },
            teams = root.table("params").tables("teams").map(::team),
            objectives = root.table("params").tables("objectives").map(::objective),
            heartbeatIntervalS = root.table("params.workers").positive("report_s"),
            leaseS = root.table("params.workers").positive("lease_s"),
            cancelS = root.table("params.workers").positive("cancel_s"),
            stateRps = root.table("params.state").positive("rps"),
            stateWriteRps = root.table("params.state").positive("write_rps"),
            valueKb = root.table("params.state").positive("value_kb"),
            txnOps = root.table("params.state").positive("txn_ops").toInt(),
            cloudRps = root.table("params.cloud").positive("rps"),
            listLagS = root.table("params.cloud").positive("list_lag_s"),
            maxSockets = root.table("params.resources").positive("max_sockets").toInt(),
            nextStateLimits = nextStateLimits(root.table("params.state")),
        )

    /** The announced future limits of the store; null if there are none. A limit that is not given keeps its present value. */
    private fun nextStateLimits(state: SettingsTable): StateLimits? {
        val next = state.optionalTable("next") ?: return null

        fun limit(field: String) = if (field in next) next.positive(field) else state.positive(field)
        return StateLimits(limit("write_rps"), limit("value_kb"), limit("txn_ops").toInt())
    }

    private fun team(table: SettingsTable) =
        Team(
            name = table.text("name"),
            cpus = table.nonNegative("cpus"),
            cpusMax = table.nonNegative("cpus_max"),
            gpus = table.nonNegative("gpus"),
            gpusMax = table.nonNegative("gpus_max"),
        )

    private fun objective(table: SettingsTable) =
        Objective(
            kind = table.text("kind"),
            jobClass = table.optionalText("class"),
            withinS = table.optionalNumber("within_s"),
            targetFraction = table.optionalNumber("share"),
            deadlineFactor = table.optionalNumber("times"),
        )
}
