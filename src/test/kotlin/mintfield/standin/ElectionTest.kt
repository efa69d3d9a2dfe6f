package mintfield.standin

import mintfield.io.http.HttpMessage
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** Elections whose requests to the store are lost or carried out late. */
class ElectionTest {
    private val cluster = TestCluster()

    @BeforeEach
    fun start() = cluster.start(machines = 1)

    @AfterEach
    fun stop() = cluster.stop()

    private fun putsLeader(request: HttpMessage) = request.second == "/txn" && "\"write\":\"mf/leader\"" in String(request.body)

    @Test
    fun `a leader leads by no lease that it has given up, also when an earlier try was carried out late`() {
        // The first try is carried out after the node has given it up, the end of its lease is refused, and the second try is
        // lost: the node then finds a key of its own, on a lease that it does not renew.
        val tries = AtomicInteger()
        val givenUp = ConcurrentLinkedQueue<Long>()
        val leadsBy = CompletableFuture<Long?>()
        cluster.faults.choose = { _, request ->
            when {
                putsLeader(request) -> faultOfTry(tries.incrementAndGet())
                request.first == "DELETE" -> {
                    givenUp += request.second.split('/')[2].toLong()
                    if (tries.get() < 2) StateFault.Refused(503) else null
                }
                else -> null.also { if (beginsReplay(request)) leadsBy.complete(cluster.standIns.store.leaseOf("mf/leader")) }
            }
        }
        cluster.startNode("plot-0", wait = false)
        await("it leads") { leadsBy.isDone }
        assertFalse(leadsBy.get() in givenUp, "it leads by lease ${leadsBy.get()} and gave up $givenUp")
    }

    private fun faultOfTry(number: Int): StateFault? =
        when (number) {
            1 -> StateFault.CarriedOutLate(LATE_MS)
            2 -> StateFault.LostRequest
            else -> null
        }

    /** What a node that has won an election reads first of all, besides the jobs. */
    private fun beginsReplay(request: HttpMessage) = request.second.startsWith("/store?starts=mf/d/")

    private companion object {
        /** After the node's patience of 1.5 s with the first try, before that with the second is over. */
        const val LATE_MS = 2_500L
    }
}
