package mintfield.core.ownership

import mintfield.Fixtures
import mintfield.core.model.Peer
import mintfield.io.settings.OperatorFile
import mintfield.io.settings.SettingsFault
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import java.io.File

/** Parsing and validation of the operators' settings block `sharing`. */
class ShardingSettingsTest {
    private fun sharding(body: String) = OperatorFile.parse("sharing {\n$body\n}\n", "o.hcl").sharding

    private fun fault(body: String) = assertThrows(SettingsFault::class.java) { sharding(body) }.message!!.removePrefix("o.hcl: ")

    private val shard = "share \"a\" {\n home = \"plot-0\"\n teams = [\"floor\"]\n floor = 2\n ceiling = 9\n}"

    @Test
    fun `the file under deploy is accepted, and without the block machines are not sharded`() {
        val shards = OperatorFile.parse(File("deploy/sharing.hcl").readText(), "deploy/sharing.hcl").sharding!!.shards
        assertEquals(listOf("payroll", "slicing"), shards.map { it.name }.sorted())
        assertNull(OperatorFile.parse("log {\n format = \"plain\"\n}\n", "o.hcl").sharding)
        assertEquals(
            ShardingSettings(listOf(ShardSettings("a", "plot-0", listOf("floor"), 2, 9, 2.5))),
            sharding(shard.replace("floor = 2", "floor = 2\n weight = 2.5")),
        )
    }

    @Test
    fun `a wrong field is refused by name and reason`() {
        assertEquals("sharing.share: expected at least one block, found none", fault(""))
        assertEquals("sharing.shares: not known; expected one of share", fault(shard.replace("share \"a\"", "shares \"a\"")))
        assertEquals("sharing.share.a.size: not known; expected one of ceiling, floor, home, teams, weight", fault(shard.replace("floor = 2", "size = 2")))
        assertEquals("sharing.share a.home: expected a controller's name, found null", fault(shard.replace(" home = \"plot-0\"\n", "")))
        assertEquals("sharing.share a.teams: expected a list of teams' names, found floor", fault(shard.replace("[\"floor\"]", "\"floor\"")))
        assertEquals("sharing.share a.floor: expected a number from 0.0 to 1000000.0, found -1.0", fault(shard.replace("floor = 2", "floor = -1")))
        assertEquals("sharing.share a.floor: expected no more than the ceiling 9, found 10", fault(shard.replace("floor = 2", "floor = 10")))
        assertEquals("sharing.share a.weight: expected a number from 0.01 to 100.0, found 0.0", fault(shard.replace("floor = 2", "weight = 0.0")))
        assertEquals("sharing.share a b: expected a name of letters, digits and dashes", fault(shard.replace("\"a\"", "\"a b\"")))
    }

    @Test
    fun `shards must fit the platform's settings`() {
        val settings = Fixtures.settings.copy(peers = listOf(Peer("plot-1", "south", "127.0.0.1:1")))

        fun problem(vararg shards: ShardSettings) = ShardingSettings(shards.toList()).problem(settings)?.message
        val floor = ShardSettings("a", "plot-0", listOf("floor"))
        assertNull(problem(floor, ShardSettings("b", "plot-1", listOf("small"))))
        assertEquals("sharing.share: team small is in no share", problem(floor))
        assertEquals("sharing.share: team floor is in more than one share", problem(floor, ShardSettings("b", "plot-1", listOf("floor", "small"))))
        assertEquals("sharing.share a.home: expected one of plot-0, plot-1, found plot-9", problem(floor.copy(home = "plot-9")))
        assertEquals("sharing.share a.teams: expected some of floor, small, found x", problem(floor.copy(teams = listOf("x"))))
    }
}
