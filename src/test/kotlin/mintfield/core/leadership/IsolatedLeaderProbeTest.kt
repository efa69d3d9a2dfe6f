package mintfield.core.leadership

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

private const val REDIRECT_INTERVAL_MS = 20_000L

class IsolatedLeaderProbeTest {
    @Test
    fun `a worker is redirected once per interval and served when it returns`() {
        val probe = IsolatedLeaderProbe(REDIRECT_INTERVAL_MS)
        assertTrue(probe.shouldRedirect("m-1", 1_000))
        assertFalse(probe.shouldRedirect("m-1", 5_000))
        assertTrue(probe.shouldRedirect("m-2", 5_000), "each worker is redirected separately")
        assertFalse(probe.shouldRedirect("m-1", 1_000 + REDIRECT_INTERVAL_MS - 1))
        assertTrue(probe.shouldRedirect("m-1", 1_000 + REDIRECT_INTERVAL_MS), "the result of a redirect becomes outdated")
    }
}
