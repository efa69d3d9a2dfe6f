package mintfield.core.ownership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Tests which shards claim unowned machines. */
class WeightedClaimsTest {
    private val live = hashSetOf("a", "b", "c")

    @Test
    fun `divides machines by weight, and the first shard with a leader claims abandoned machines of a shard without a leader`() {
        val all = listOf(ShardSettings("a", "", emptyList()), ShardSettings("b", "", emptyList(), weight = 3.0), ShardSettings("c", "", emptyList()))
        val policies = all.associate { it.name to WeightedClaims(it.name, all, live::contains) }
        val names = (0 until 1_000).map { "m-%06d".format(it) }

        fun claimants(abandoned: Boolean) = names.map { name -> policies.filterValues { it.shouldClaim(name, abandoned) }.keys.single() }
        assertEquals(claimants(abandoned = false), claimants(abandoned = true), "all shards have leaders")
        assertEquals(600.0, claimants(abandoned = false).count { it == "b" }.toDouble(), 60.0)
        live.remove("b")
        assertEquals(600.0, names.count { policies.getValue("b").shouldClaim(it, false) }.toDouble(), 60.0, "the next leader of b claims them")
        assertEquals(800.0, names.count { policies.getValue("a").shouldClaim(it, true) }.toDouble(), 60.0)
    }
}
