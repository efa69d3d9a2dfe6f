package mintfield.history

import mintfield.core.ownership.Assignment.Offered
import mintfield.core.ownership.Assignment.Owned
import mintfield.core.ownership.Assignment.Releasing
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Short handwritten histories of machines that move between shards. */
class OwnershipCheckerTest {
    private val terms = listOf(TermStarted("a", 1), TermStarted("b", 2))
    private val moved =
        listOf(
            AssignmentWritten("m-1", Owned("a"), 10, 10),
            AssignmentWritten("m-1", Releasing("a", "b"), 20, 20),
            AssignmentWritten("m-1", Offered("a", "b"), 30, 30),
            AssignmentWritten("m-1", Owned("b"), 40, 40),
        )

    private fun anomalies(
        assignments: List<AssignmentWritten>,
        vararg accepted: AcceptedToken,
    ) = OwnershipChecker(assignments, terms).check(accepted.toList()).map { it.anomaly }

    @Test
    fun `a handover passes, even if a command of the former owner is accepted after the adoption and before the first of the new owner`() {
        assertEquals(emptyList<OwnershipAnomaly>(), anomalies(moved, AcceptedToken("m-1", 10, 15), AcceptedToken("m-1", 10, 41), AcceptedToken("m-1", 40, 42)))
        val back =
            moved + AssignmentWritten("m-1", Releasing("b", "a"), 50, 50) + AssignmentWritten("m-1", Offered("b", "a"), 60, 60) +
                AssignmentWritten("m-1", Owned("a"), 70, 70)
        assertEquals(emptyList<OwnershipAnomaly>(), anomalies(back, AcceptedToken("m-1", 40, 45), AcceptedToken("m-1", 70, 75)))
    }

    @Test
    fun `a command of the former owner after one of the new owner is reported`() {
        assertEquals(listOf(OwnershipAnomaly.FORMER_OWNER), anomalies(moved, AcceptedToken("m-1", 40, 42), AcceptedToken("m-1", 10, 43)))
        assertEquals(listOf(OwnershipAnomaly.FORMER_OWNER), anomalies(moved, AcceptedToken("m-1", 40, 42), AcceptedToken("m-1", 1, 43)))
    }

    @Test
    fun `a change of owner without an offer is reported`() {
        assertEquals(listOf(OwnershipAnomaly.TWO_OWNERS), anomalies(moved.filter { it.assignment !is Offered }))
        assertEquals(listOf(OwnershipAnomaly.TWO_OWNERS), anomalies(moved.dropLast(1) + AssignmentWritten("m-1", Owned("c"), 40, 40)))
    }

    @Test
    fun `a token that no leader can have issued is reported`() {
        assertEquals(listOf(OwnershipAnomaly.UNKNOWN_TOKEN), anomalies(moved, AcceptedToken("m-1", 5, 50)))
    }

    @Test
    fun `completed moves are listed with their times`() {
        val move = completedMoves(moved, listOf(AcceptedToken("m-1", 10, 41), AcceptedToken("m-1", 40, 45))).single()
        assertEquals(Move("m-1", "a", "b", 20, 30, 40, 45), move)
    }
}
