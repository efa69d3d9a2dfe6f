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
    fun `a completion is the next event if it is prioritized, otherwise the last one`() {
        // Guards against accepted connections that wait behind all queued events while the loop is under load.
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
            loop.prioritizeCompletion { loop.executor.execute(event("completed with priority")) }
            loop.executor.execute(event("completed later"))
        }
        loop.start()
        assertTrue(done.await(5, TimeUnit.SECONDS))
        assertEquals(listOf("completed with priority", "queued", "completed", "completed later"), order)
    }
}
