package mintfield.core

import mintfield.Fixtures
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class KnownCancellationsTest {
    private val recorded = HashSet<String>()
    private val cancellations = KnownCancellations(Cluster(Fixtures.settings, firstTerm = 1) { }) { it in recorded }

    @Test
    fun `a confirmed cancellation is known until a read of the job records that was sent after the confirmation`() {
        // Guards against ran_cancelled after a read that was under way when the cancellation was confirmed, and against unbounded memory.
        cancellations.confirmed("wk-1", 1_000)
        cancellations.confirmed("wk-2", 2_000)
        cancellations.recordsRead(1_000)
        assertTrue(cancellations.isKnown("wk-1"), "the read may have been sent before the confirmation")
        cancellations.confirmed("wk-1", 3_000)
        cancellations.recordsRead(1_001)
        assertFalse(cancellations.isKnown("wk-1"))
        assertTrue(cancellations.isKnown("wk-2"))
        recorded.add("wk-2")
        cancellations.recordsRead(2_001)
        assertTrue(cancellations.isKnown("wk-2"), "its record shows it")
    }
}
