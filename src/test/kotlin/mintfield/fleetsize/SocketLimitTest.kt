package mintfield.fleetsize

import mintfield.loopback.LoopbackWorker
import mintfield.loopback.TestCluster
import mintfield.loopback.await
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Behaviour of a real controller that has fewer sockets than workers. */
class SocketLimitTest {
    private val cluster = TestCluster()

    @AfterEach
    fun stop() = cluster.stop()

    @Test
    fun `workers that exceed the sockets of a controller keep their leases over non-persistent connections`() {
        cluster.start(machines = WORKERS)
        cluster.startController("plot-0") { it.copy(maxSockets = SOCKETS) }
        await("all workers have a lease from the leader") { workers().all { it.sim.term > 0 } }
        Thread.sleep(LONGER_THAN_LEASE_MS)
        assertEquals(0, workers().count { it.sim.incarnation > 1 }, "workers whose lease expired")
        assertTrue(SOCKETS < WORKERS)
    }

    private fun workers(): List<LoopbackWorker> = cluster.services.workers

    private companion object {
        const val WORKERS = 120
        const val SOCKETS = 60
        const val LONGER_THAN_LEASE_MS = 12_000L
    }
}
