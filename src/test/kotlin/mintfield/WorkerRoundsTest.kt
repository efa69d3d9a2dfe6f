package mintfield

import mintfield.core.Tuning
import mintfield.core.leadership.WorkerRounds
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class WorkerRoundsTest {
    @Test
    fun `a worker is sent on once, and renewed when it comes back with nothing found`() {
        val rounds = WorkerRounds()
        assertTrue(rounds.sendOn("m-1", 1_000))
        assertFalse(rounds.sendOn("m-1", 5_000))
        assertTrue(rounds.sendOn("m-2", 5_000), "each worker finds out for itself")
        assertFalse(rounds.sendOn("m-1", 1_000 + Tuning.SEND_ON_MS - 1))
        assertTrue(rounds.sendOn("m-1", 1_000 + Tuning.SEND_ON_MS), "what it found out does not hold for ever")
    }
}
