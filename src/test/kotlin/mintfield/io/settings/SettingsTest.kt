package mintfield.io.settings

import mintfield.core.model.LogFormat
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

class SettingsTest {
    private val good =
        """
        member = "plot-0"
        zone = "north"
        client_listen = "10.0.0.1:8080"
        internal_addr = "10.0.0.1:8081"
        unknown = true
        [[siblings]]
        member = "plot-1"
        zone = "south"
        address = "10.0.0.2:8081"
        [outside]
        cloud = "10.2.0.2:8443"
        state = "10.2.0.1:2379"
        [params]
        zones = ["north", "south"]
        [[params.teams]]
        name = "floor"
        cpus = 1.0
        cpus_max = 2.0
        gpus = 0.0
        gpus_max = 0.0
        [[params.objectives]]
        kind = "wait"
        class = "quote"
        within_s = 1.0
        share = 0.85
        [params.workers]
        report_s = 1.5
        lease_s = 10.0
        cancel_s = 40.0
        [params.state]
        rps = 200.0
        write_rps = 30.0
        value_kb = 32.0
        txn_ops = 20
        [params.cloud]
        rps = 5.0
        list_lag_s = 3.0
        [params.resources]
        max_sockets = 1000
        """.trimIndent()

    private fun fault(text: String) = assertThrows(SettingsFault::class.java) { SettingsFile.parse(text, "s.toml") }.message!!

    @Test
    fun `the platform's file is read and unknown fields are ignored`() {
        val s = SettingsFile.parse(good, "s.toml")
        assertEquals("plot-1", s.peers.single().member)
        assertEquals(20, s.txnOps)
        assertEquals(2.0, s.teams.single().cpusMax)
    }

    @Test
    fun `announced limits of the state service may be given in part`() {
        assertEquals(null, SettingsFile.parse(good, "s.toml").nextStateLimits)
        val some = good.replace("[params.cloud]", "[params.state.next]\nvalue_kb = 2.0\n[params.cloud]")
        val settings = SettingsFile.parse(some, "s.toml")
        assertEquals(settings.stateLimits.copy(valueKb = 2.0), settings.nextStateLimits)
        val wrong = some.replace("value_kb = 2.0", "value_kb = -2.0")
        assertEquals("s.toml: params.state.next.value_kb: expected a number of more than 0, found -2.0", fault(wrong))
    }

    @Test
    fun `a fault names the field and what was expected`() {
        assertEquals("s.toml: params.state.rps: expected a number of more than 0, found -1", fault(good.replace("rps = 200.0", "rps = -1")))
        assertEquals("s.toml: zone: expected a string, found nothing", fault(good.replaceFirst("zone = \"north\"\n", "")))
        assertEquals(
            "s.toml: outside.cloud: expected an IPv4 address and port such as 10.0.0.1:8080, found cloud.local:1",
            fault(good.replace("10.2.0.2:8443", "cloud.local:1")),
        )
        assertEquals("s.toml: params.cloud: expected a table, found nothing", fault(good.replace("[params.cloud]", "[params.clouds]")))
    }

    @Test
    fun `each value of the operators' settings is validated`() {
        val s = OperatorFile.parse("log {\n  format = \"json\"\n}\ntuning {\n  headroom = 1.2\n  leader_lease_ms = 5000\n}\n", "o.hcl")
        assertEquals(LogFormat.JSON, s.logFormat)
        assertEquals(1.2, s.headroom)
        assertEquals(5_000, s.leaderLeaseMs)
        val cases =
            mapOf(
                "tuning {\n headroom = 0.5\n}\n" to "o.hcl: tuning.headroom: expected a number from 1.0 to 10.0, found 0.5",
                "tuning {\n speed = 1\n}\n" to
                    "o.hcl: tuning.speed: not known; expected one of headroom, idle_return_ms, leader_lease_ms, silent_return_ms",
                "log {\n format = \"xml\"\n}\n" to "o.hcl: log.format: expected plain or json, found xml",
            )
        for ((text, message) in cases) {
            assertEquals(message, assertThrows(SettingsFault::class.java) { OperatorFile.parse(text, "o.hcl") }.message)
        }
    }
}
