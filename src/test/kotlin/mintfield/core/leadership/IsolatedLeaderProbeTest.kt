package mintfield.core.leadership

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

private const val SEND_ON_MS = 20_000L

class IsolatedLeaderProbeTest {
    @Test
    fun `a worker is sent on once, and renewed when it comes back with nothing found`() {
        val rounds = IsolatedLeaderProbe(SEND_ON_MS)
        assertTrue(rounds.shouldRedirect("m-1", 1_000))
        assertFalse(rounds.shouldRedirect("m-1", 5_000))
        assertTrue(rounds.shouldRedirect("m-2", 5_000), "each worker finds out for itself")
        assertFalse(rounds.shouldRedirect("m-1", 1_000 + SEND_ON_MS - 1))
        assertTrue(rounds.shouldRedirect("m-1", 1_000 + SEND_ON_MS), "what it found out does not hold for ever")
    }
}
