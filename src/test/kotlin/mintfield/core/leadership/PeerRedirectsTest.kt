package mintfield.core.leadership

import mintfield.core.constants.PeerConstants
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class PeerRedirectsTest {
    @Test
    fun `a worker is redirected to a peer once, then follows its own order until the backoff has passed`() {
        val redirects = PeerRedirects()
        assertEquals("plot-1", redirects.redirectTarget("m-1", "plot-1", 1_000))
        assertNull(redirects.redirectTarget("m-1", "plot-1", 4_000), "it may reach the leader itself, so it must not be redirected repeatedly")
        assertNull(redirects.redirectTarget("m-2", null, 4_000))
        assertEquals("plot-1", redirects.redirectTarget("m-1", "plot-1", 1_000 + PeerConstants.REDIRECT_BACKOFF_MS))
    }
}
