package mintfield.core.ownership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Which shards claim machines without an owner. */
class WeightedClaimsTest {
    private val live = hashSetOf("a", "b", "c")

    @Test
    fun `divides machines by weight, and an abandoned one of a shard without a leader falls to the first that has one`() {
        val all = listOf(ShardSettings("a", "", emptyList()), ShardSettings("b", "", emptyList(), weight = 3.0), ShardSettings("c", "", emptyList()))
        val policies = all.associate { it.name to WeightedClaims(it.name, all, live::contains) }
        val names = (0 until 1_000).map { "m-%06d".format(it) }

        fun takers(abandoned: Boolean) = names.map { name -> policies.filterValues { it.takes(name, abandoned) }.keys.single() }
        assertEquals(takers(abandoned = false), takers(abandoned = true), "all shares have leaders")
        assertEquals(600.0, takers(abandoned = false).count { it == "b" }.toDouble(), 60.0)
        live.remove("b")
        assertEquals(600.0, names.count { policies.getValue("b").takes(it, false) }.toDouble(), 60.0, "its next leader takes them")
        assertEquals(800.0, names.count { policies.getValue("a").takes(it, true) }.toDouble(), 60.0)
    }
}
