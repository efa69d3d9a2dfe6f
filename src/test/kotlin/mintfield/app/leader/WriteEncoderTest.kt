package mintfield.app.leader

import mintfield.Fixtures
import mintfield.core.Write
import mintfield.core.jobs.Job
import mintfield.core.jobs.RoundRecord
import mintfield.core.leadership.LeaseClock
import mintfield.core.model.StateLimitsInForce
import mintfield.io.store.LeaderKeys
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class WriteEncoderTest {
    private val tenure = LeaderTenure(term = 7, lease = 1, nonce = "n", controller = "plot-0", clock = LeaseClock(3_500, 0))
    private val encoder = WriteEncoder(LeaderKeys(), StateLimitsInForce(Fixtures.settings), tenure)

    @Test
    fun `a copy of the transaction that wrote a round is refused while the round exists`() {
        val job = Job(Fixtures.accepted(Fixtures.spec("wk-1"), revision = 3))
        val preconditions = encoder.preconditionsOf(Write.RecordRound("7-1", RoundRecord(emptyList()), listOf(job)))
        assertEquals(listOf("mf/j/l/wk-1" to 3L, "mf/p/7-1" to 0L), preconditions.map { it.key to it.revision })
    }
}
