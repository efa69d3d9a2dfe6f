package mintfield.io.loop

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

class EventLoopTest {
    private val loop = EventLoop()

    @AfterEach
    fun stop() = loop.stop()

    @Test
    fun `what completes at once while started ahead is the next event, anything else the last`() {
        // Guards against connections that wait behind all events queued on a loaded loop.
        val order = ArrayList<String>()
        val done = CountDownLatch(4)

        fun event(name: String) =
            Runnable {
                order.add(name)
                done.countDown()
            }
        loop.post {
            loop.post(event("queued"))
            loop.executor.execute(event("completed"))
            loop.ahead { loop.executor.execute(event("completed ahead")) }
            loop.executor.execute(event("completed later"))
        }
        loop.start()
        assertTrue(done.await(5, TimeUnit.SECONDS))
        assertEquals(listOf("completed ahead", "queued", "completed", "completed later"), order)
    }
}
