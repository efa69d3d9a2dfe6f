package mintfield.core.ownership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Tests weighted max-min fairness. */
class FairSharesTest {
    @Test
    fun `divides by weight, and gives no shard more than it requests`() {
        fun divide(
            total: Double,
            vararg claims: Pair<Double, Double>,
        ) = FairShares
            .divide(total, claims.withIndex().associate { (i, c) -> "s$i" to FairShares.Claim(c.first, c.second) })
            .toSortedMap()
            .values
            .toList()
        assertEquals(listOf(25.0, 75.0), divide(100.0, 1.0 to 200.0, 3.0 to 200.0))
        assertEquals(listOf(10.0, 30.0, 60.0), divide(100.0, 1.0 to 10.0, 1.0 to 200.0, 2.0 to 200.0))
        assertEquals(listOf(10.0, 20.0), divide(100.0, 1.0 to 10.0, 1.0 to 20.0))
        assertEquals(emptyList<Double>(), divide(100.0))
    }
}
