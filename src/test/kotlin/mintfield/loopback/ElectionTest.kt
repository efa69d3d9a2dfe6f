package mintfield.loopback

import mintfield.io.http.HttpMessage
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** Elections whose requests to the store are lost or applied late. */
class ElectionTest {
    private val cluster = TestCluster()

    @BeforeEach
    fun start() = cluster.start(machines = 1)

    @AfterEach
    fun stop() = cluster.stop()

    private fun writesLeaderKey(request: HttpMessage) = request.path == "/txn" && "\"write\":\"mf/leader\"" in String(request.body)

    @Test
    fun `a leader does not lead on a lease that it has abandoned, also when an earlier transaction is applied late`() {
        // The first transaction is applied after the controller has abandoned it, the end of its lease is refused, and the second
        // transaction is lost: the controller then finds a key of its own, on a lease that it does not renew.
        val attempts = AtomicInteger()
        val abandoned = ConcurrentLinkedQueue<Long>()
        val leaseOfLeader = CompletableFuture<Long?>()
        cluster.faults.choose = { _, request ->
            when {
                writesLeaderKey(request) -> faultOfAttempt(attempts.incrementAndGet())
                request.method == "DELETE" -> {
                    abandoned += request.path.split('/')[2].toLong()
                    if (attempts.get() < 2) StoreFault.Refused(503) else null
                }
                else -> null.also { if (beginsReplay(request)) leaseOfLeader.complete(cluster.services.store.leaseOf("mf/leader")) }
            }
        }
        cluster.startController("plot-0", wait = false)
        await("it leads") { leaseOfLeader.isDone }
        assertFalse(leaseOfLeader.get() in abandoned, "it leads on lease ${leaseOfLeader.get()} and abandoned $abandoned")
    }

    private fun faultOfAttempt(number: Int): StoreFault? =
        when (number) {
            1 -> StoreFault.AppliedLate(LATE_MS)
            2 -> StoreFault.LostRequest
            else -> null
        }

    /** Whether it is the first request of a controller that has won an election, besides those for the jobs. */
    private fun beginsReplay(request: HttpMessage) = request.path.startsWith("/store?starts=mf/d/")

    private companion object {
        /** After the timeout of 1.5 s of the first transaction, before that of the second. */
        const val LATE_MS = 2_500L
    }
}
