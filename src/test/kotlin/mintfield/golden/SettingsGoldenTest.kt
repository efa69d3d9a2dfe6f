package mintfield.golden

import mintfield.app.cli.OwnershipPrinter
import mintfield.app.sharding.OwnershipStatus
import mintfield.app.sharding.ShardSummary
import mintfield.core.model.LogFormat
import mintfield.core.model.Objective
import mintfield.core.model.OperatorSettings
import mintfield.core.model.Peer
import mintfield.core.model.Settings
import mintfield.core.model.StateLimits
import mintfield.core.model.Team
import mintfield.core.ownership.Assignment
import mintfield.core.ownership.ShardSettings
import mintfield.io.settings.OperatorFile
import mintfield.io.settings.SettingsFile
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Pins the settings files of the platform and of operators, and the JSON output for operators' programs. */
class SettingsGoldenTest {
    private val minimal =
        Settings(
            member = "plot-0",
            zone = "north",
            clientListen = "10.0.0.1:8080",
            internalAddress = "10.0.0.1:8081",
            peers = emptyList(),
            cloudAddress = "10.2.0.2:8443",
            stateAddress = "10.2.0.1:2379",
            zones = emptyList(),
            teams = emptyList(),
            objectives = emptyList(),
            heartbeatIntervalS = 1.5,
            leaseS = 10.0,
            cancelS = 40.0,
            stateRps = 200.0,
            stateWriteRps = 30.0,
            valueKb = 32.0,
            txnOps = 20,
            cloudRps = 5.0,
            listLagS = 3.0,
            maxSockets = 1_000,
        )

    private fun platform(name: String) = SettingsFile.parse(GoldenFile.text("settings/$name"), name)

    private fun operator(name: String) = OperatorFile.parse(GoldenFile.text("settings/$name"), name)

    @Test
    fun `the platform's settings are read with and without optional fields`() {
        val whole =
            minimal.copy(
                peers = listOf(Peer("plot-1", "south", "10.0.0.2:8081"), Peer("plot-2", "east", "10.0.0.3:8081")),
                zones = listOf("north", "south", "east"),
                teams = listOf(Team("millers", 1.0, 2.0, 3.0, 4.0), Team("bakers", 0.0, 0.0, 0.0, 0.0)),
                objectives = listOf(Objective("wait", "grind", 1.5, 0.85, null), Objective("pace", null, null, null, 2.5)),
                nextStateLimits = StateLimits(15.0, 4.0, 10),
            )
        assertEquals(whole, platform("platform.toml"))
        assertEquals(minimal, platform("platform-least.toml"))
    }

    @Test
    fun `the operators' settings are read complete and empty`() {
        val shards =
            listOf(
                ShardSettings("s0", "plot-0", listOf("millers", "weavers"), 4, 40, 2.5),
                ShardSettings("s1", "plot-1", listOf("bakers"), 0, 1_000_000, 1.0),
            )
        val whole = operator("operator.hcl")
        assertEquals(shards, whole.sharding?.shards)
        val rest = OperatorSettings(LogFormat.JSON, 5_000, 1.25, 90_000, 30_000, 4_000, null, "/var/log/spans.jsonl")
        assertEquals(rest, whole.copy(sharding = null))
        assertEquals(OperatorSettings(), operator("operator-empty.hcl"))
        assertEquals(OperatorSettings(LogFormat.PLAIN), operator("operator-plain.hcl"))
    }

    @Test
    fun `the machines command writes stable JSON`() {
        val moves =
            linkedMapOf(
                "m-000002" to Assignment.Releasing("s0", "s1"),
                "m-000003" to Assignment.Offered("s1", "s0", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"),
            )
        val shards = listOf(ShardSummary("s0", "plot-0", listOf("m-000001", "m-000002")), ShardSummary("s1", null, emptyList()))
        val status = OwnershipStatus(shards, moves, linkedSetOf("plot-0", "plot-2"))
        GoldenFile.check("settings/machines-show.json", OwnershipPrinter.json(status).toByteArray())
        GoldenFile.check("settings/machines-show.txt", OwnershipPrinter.lines(status).joinToString("") { it + "\n" }.toByteArray())
        val nothing = OwnershipStatus(emptyList(), emptyMap(), emptySet())
        GoldenFile.check("settings/machines-show-nothing.json", OwnershipPrinter.json(nothing).toByteArray())
    }
}
