package mintfield.loopback

import mintfield.io.http.HttpMessage
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** Leader elections in which requests to the store are lost or applied after their timeout. */
class ElectionTest {
    private val cluster = TestCluster()

    @BeforeEach
    fun start() = cluster.start(machines = 1)

    @AfterEach
    fun stop() = cluster.stop()

    private fun writesLeaderKey(request: HttpMessage) = request.path == "/txn" && "\"write\":\"mf/leader\"" in String(request.body)

    @Test
    fun `a leader never leads on a lease that it abandoned, even if an earlier transaction is applied late`() {
        // The store applies the first transaction after the controller has given up on it, refuses to end the lease of that
        // transaction, and loses the second transaction. The controller then reads a leader key under its own name, bound to a lease
        // that it no longer renews.
        val transactions = AtomicInteger()
        val abandoned = ConcurrentLinkedQueue<Long>()
        val leaseOfLeader = CompletableFuture<Long?>()
        cluster.faults.chooseFault = { _, request ->
            when {
                writesLeaderKey(request) -> faultOfTransaction(transactions.incrementAndGet())
                request.method == "DELETE" -> {
                    abandoned += request.path.split('/')[2].toLong()
                    if (transactions.get() < 2) StoreFault.Refused(503) else null
                }
                else -> null.also { if (startsReplay(request)) leaseOfLeader.complete(cluster.services.store.leaseOf("mf/leader")) }
            }
        }
        cluster.startController("plot-0", wait = false)
        await("plot-0 leads") { leaseOfLeader.isDone }
        assertFalse(leaseOfLeader.get() in abandoned, "plot-0 leads on lease ${leaseOfLeader.get()}, abandoned leases: $abandoned")
    }

    private fun faultOfTransaction(number: Int): StoreFault? =
        when (number) {
            1 -> StoreFault.AppliedLate(LATE_MS)
            2 -> StoreFault.LostRequest
            else -> null
        }

    /** Whether [request] is the first one that the winner of an election sends in its replay, apart from the reads of jobs. */
    private fun startsReplay(request: HttpMessage) = request.path.startsWith("/store?starts=mf/d/")

    private companion object {
        /** Later than the timeout of the first transaction (1.5 s) and earlier than that of the second. */
        const val LATE_MS = 2_500L
    }
}
