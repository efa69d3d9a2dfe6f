package mintfield.core.leadership

import mintfield.Fixtures
import mintfield.core.constants.PeerConstants
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class CancellationWatermarkTest {
    private val limit = LeaseRenewalLimit(Fixtures.settings.copy(leaseS = 10.0, cancelS = 40.0))
    private val watermark = CancellationWatermark(listOf("plot-1", "plot-2"))
    private val logs = mapOf("plot-1" to CancellationLog(1), "plot-2" to CancellationLog(2))

    private fun read(
        peer: String,
        log: CancellationLog,
        askedAtMs: Long,
        nowMs: Long = askedAtMs + 5,
    ) = watermark.progressOf(peer).let { (incarnation, next) ->
        watermark.answered(peer, log.after(incarnation, next), askedAtMs, nowMs)
    }

    private fun readAll(askedAtMs: Long) = logs.forEach { (peer, log) -> read(peer, log, askedAtMs) }

    @Test
    fun `in an outage for all controllers, the logs of the peers keep the leases to its end`() {
        watermark.viewed(1_000)
        readAll(900)
        watermark.viewed(2_000)
        for (at in 2_500L..600_000L step 1_000) readAll(at)
        assertTrue(limit.allows(601_000 - watermark.upToMs()))
        val alone = CancellationWatermark(emptyList())
        assertFalse(limit.allows(600_000 - alone.upToMs()), "what an earlier process told is not read yet")
        alone.viewed(1_000)
        assertTrue(limit.allows(600_000 - alone.upToMs()), "no other controller tells users anything")
    }

    @Test
    fun `a peer that is silent, restarted or not read to the end proves nothing`() {
        // Guards against ran_cancelled where a controller that has told users of cancellations crashes or is cut off in an outage.
        readAll(900)
        watermark.viewed(2_000)
        readAll(3_000)
        assertEquals(3_000, watermark.upToMs())
        read("plot-1", logs.getValue("plot-1"), 4_000)
        assertEquals(3_000, watermark.upToMs(), "plot-2 is silent")
        val again = CancellationLog(3)
        for (at in 5_000L..60_000L step 1_000) {
            read("plot-1", logs.getValue("plot-1"), at)
            read("plot-2", again, at)
        }
        assertEquals(2_000, watermark.upToMs(), "what its earlier process told is lost, but for what the store showed")
        watermark.viewed(61_000)
        readAll(62_000)
        read("plot-2", again, 62_000)
        assertEquals(61_000, watermark.upToMs(), "a process whose first answer came after the last read of the store")
        read("plot-1", logs.getValue("plot-1"), 63_000)
        read("plot-2", again, 63_000)
        watermark.viewed(64_000)
        read("plot-1", logs.getValue("plot-1"), 70_000, nowMs = 95_000)
        read("plot-2", again, 71_000, nowMs = 96_000)
        assertEquals(70_000, watermark.upToMs(), "a delayed answer counts for when the peer was asked")
        repeat(PeerConstants.MIN_CANCELLATIONS_PER_PAGE + 1) { again.append("wk-$it") }
        read("plot-1", logs.getValue("plot-1"), 100_000)
        read("plot-2", again, 100_000)
        assertEquals(71_000, watermark.upToMs(), "a part of its log is still to come")
        read("plot-2", again, 101_000)
        assertEquals(100_000, watermark.upToMs())
        repeat(PeerConstants.MIN_CANCELLATIONS_KEPT + 1) { again.append("wj-$it") }
        read("plot-1", logs.getValue("plot-1"), 110_000)
        repeat(9) { read("plot-2", again, 110_000) }
        assertEquals(64_000, watermark.upToMs(), "entries were dropped before they were read")
    }
}
