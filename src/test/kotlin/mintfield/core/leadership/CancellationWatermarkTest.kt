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
        requestedAtMs: Long,
        nowMs: Long = requestedAtMs + 5,
    ) = watermark.positionOf(peer).let { (incarnation, next) ->
        watermark.pageReceived(peer, log.pageFrom(incarnation, next), requestedAtMs, nowMs)
    }

    private fun readAll(requestedAtMs: Long) = logs.forEach { (peer, log) -> read(peer, log, requestedAtMs) }

    @Test
    fun `during an outage of the store for all controllers, the logs of the peers permit renewals until its end`() {
        watermark.storeReadCompleted(1_000)
        readAll(900)
        watermark.storeReadCompleted(2_000)
        for (at in 2_500L..600_000L step 1_000) readAll(at)
        assertTrue(limit.allows(601_000 - watermark.upToMs()))
        val alone = CancellationWatermark(emptyList())
        assertFalse(limit.allows(600_000 - alone.upToMs()), "cancellations confirmed by an earlier process have not been read yet")
        alone.storeReadCompleted(1_000)
        assertTrue(limit.allows(600_000 - alone.upToMs()), "no other controller confirms cancellations")
    }

    @Test
    fun `a peer that is unresponsive, restarted or not read to the end does not advance the watermark`() {
        // Guards against ran_cancelled when a controller that has confirmed cancellations to users crashes or is partitioned during an outage.
        readAll(900)
        watermark.storeReadCompleted(2_000)
        readAll(3_000)
        assertEquals(3_000, watermark.upToMs())
        read("plot-1", logs.getValue("plot-1"), 4_000)
        assertEquals(3_000, watermark.upToMs(), "plot-2 has not responded")
        val restarted = CancellationLog(3)
        for (at in 5_000L..60_000L step 1_000) {
            read("plot-1", logs.getValue("plot-1"), at)
            read("plot-2", restarted, at)
        }
        assertEquals(2_000, watermark.upToMs(), "the log of the earlier process is lost, except for what the store showed")
        watermark.storeReadCompleted(61_000)
        readAll(62_000)
        read("plot-2", restarted, 62_000)
        assertEquals(61_000, watermark.upToMs(), "the first response of the process came after the last read of the store")
        read("plot-1", logs.getValue("plot-1"), 63_000)
        read("plot-2", restarted, 63_000)
        watermark.storeReadCompleted(64_000)
        read("plot-1", logs.getValue("plot-1"), 70_000, nowMs = 95_000)
        read("plot-2", restarted, 71_000, nowMs = 96_000)
        assertEquals(70_000, watermark.upToMs(), "a delayed response counts from the time of the request")
        repeat(PeerConstants.MIN_CANCELLATIONS_PER_PAGE + 1) { restarted.append("wk-$it") }
        read("plot-1", logs.getValue("plot-1"), 100_000)
        read("plot-2", restarted, 100_000)
        assertEquals(71_000, watermark.upToMs(), "the log of plot-2 has not been read completely")
        read("plot-2", restarted, 101_000)
        assertEquals(100_000, watermark.upToMs())
        repeat(PeerConstants.MIN_CANCELLATIONS_KEPT + 1) { restarted.append("wj-$it") }
        read("plot-1", logs.getValue("plot-1"), 110_000)
        repeat(9) { read("plot-2", restarted, 110_000) }
        assertEquals(64_000, watermark.upToMs(), "entries were dropped before they were read")
    }
}
