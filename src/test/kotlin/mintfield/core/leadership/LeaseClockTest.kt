package mintfield.core.leadership

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class LeaseClockTest {
    @Test
    fun `a lease counts from the sending of its renewal and ends locally before it can end in the store`() {
        val clock = LeaseClock(3_500, 1_000)
        assertTrue(clock.mayAct(4_300))
        assertFalse(clock.mayAct(4_400))
        clock.renewed(3_000)
        clock.renewed(2_000)
        assertTrue(clock.mayAct(6_300))
    }
}
