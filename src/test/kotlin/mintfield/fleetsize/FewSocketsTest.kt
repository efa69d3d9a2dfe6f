package mintfield.fleetsize

import mintfield.standin.StandIns
import mintfield.standin.TestCluster
import mintfield.standin.await
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A real controller with far fewer sockets than it has workers. */
class FewSocketsTest {
    private val cluster = TestCluster()

    @AfterEach
    fun stop() = cluster.stop()

    @Test
    fun `workers beyond the sockets of a controller keep their leases over short connections`() {
        cluster.start(machines = WORKERS)
        cluster.startNode("plot-0") { it.copy(maxSockets = SOCKETS) }
        await("all workers hear the leader") { workers().all { it.sim.term > 0 } }
        Thread.sleep(LONGER_THAN_A_LEASE_MS)
        assertEquals(0, workers().count { it.sim.incarnation > 1 }, "leases that ended")
        assertTrue(SOCKETS < WORKERS)
    }

    private fun workers(): List<StandIns.Worker> = cluster.standIns.workers

    private companion object {
        const val WORKERS = 120
        const val SOCKETS = 60
        const val LONGER_THAN_A_LEASE_MS = 12_000L
    }
}
