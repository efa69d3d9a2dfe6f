package mintfield

import mintfield.core.leadership.Isolation
import mintfield.core.leadership.SiblingHearing
import mintfield.core.leadership.StoreReach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** What a controller may not do while it is cut off. */
class IsolationTest {
    private val store = StoreReach()
    private val siblings = SiblingHearing(startedAtMs = 0)
    private val isolation = Isolation(store, siblings)

    @Test
    fun `a controller that nobody answers sends users and workers elsewhere, after a while, and not while a sibling is heard`() {
        store.silent(10_000)
        assertFalse(isolation.isCutOff(11_000))
        assertTrue(isolation.isCutOff(12_500))
        assertTrue(isolation.sendsWorkersAway(leaseLeftMs = -2_500, nowMs = 12_500))
        assertFalse(isolation.sendsWorkersAway(leaseLeftMs = -1_000, nowMs = 12_500), "its lease has just ended")
        siblings.heard("plot-1", storeServes = false, nowMs = 12_600)
        assertFalse(isolation.isCutOff(12_700))
        assertFalse(isolation.sendsWorkersAway(leaseLeftMs = -2_500, nowMs = 12_700))
        assertTrue(isolation.isCutOff(17_000), "the sibling has fallen silent too")
    }

    @Test
    fun `an outage is no cut, and one that is refused alone leaves users to the sibling that is served`() {
        store.silent(10_000)
        store.refused(10_500)
        assertFalse(isolation.isCutOff(20_000))
        assertFalse(isolation.isRefusedAlone(20_000))
        siblings.heard("plot-1", storeServes = false, nowMs = 20_000)
        siblings.heard("plot-2", storeServes = true, nowMs = 20_000)
        assertTrue(isolation.isRefusedAlone(20_100))
        assertEquals("plot-2", siblings.served(20_100))
        store.served()
        assertFalse(isolation.isRefusedAlone(20_200))
    }

    @Test
    fun `a sibling that refuses connections is not silent, one that answers nothing is, after a restart's time`() {
        assertFalse(siblings.isSilent("plot-1", 3_000), "just started")
        assertTrue(siblings.isSilent("plot-1", 7_000))
        siblings.refused("plot-1", 7_000)
        assertFalse(siblings.isSilent("plot-1", 8_000))
        siblings.heard("plot-1", storeServes = true, nowMs = 9_000)
        assertFalse(siblings.isSilent("plot-1", 14_000))
        assertTrue(siblings.isSilent("plot-1", 16_000))
    }
}
