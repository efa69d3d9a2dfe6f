package mintfield.loopback

import mintfield.core.model.JobPhase
import mintfield.history.JobResponse
import mintfield.io.http.HttpMessage
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import java.util.concurrent.atomic.AtomicInteger

/** Cancellations that a leader's own controller confirms, and that a store outage keeps out of every later read of the jobs. */
class CancellationBeforeOutageTest {
    private val cluster = TestCluster()
    private val users = RecordedUsers(cluster.services)
    private val worker get() = cluster.services.workers.single()

    /** Watches of the jobs that the store did not answer because an outage was about to begin. */
    private val unansweredWatches = AtomicInteger()

    @BeforeEach
    fun start() = cluster.start(machines = 1, taskMs = LONGER_THAN_A_TEST_MS)

    @AfterEach
    fun stop() = cluster.stop()

    private fun isCancellation(request: HttpMessage) = request.path == "/txn" && "\"withdrawn\":true" in String(request.body)

    /** Whether [request] waits for changes of jobs, as opposed to a read of the changes up to the present. */
    private fun waitsForJobChanges(request: HttpMessage) = request.path.startsWith("/watch?starts=mf/j/") && !request.path.endsWith("waitMs=0")

    /** The next cancellation is the last request that the store serves, and no watch shows it. */
    private fun beginOutageAfterNextCancellation() {
        var isDown = false
        cluster.faults.chooseFault = { _, request ->
            when {
                isDown -> StoreFault.Refused(503)
                waitsForJobChanges(request) -> StoreFault.LostRequest.also { unansweredWatches.incrementAndGet() }
                else -> null.also { isDown = isCancellation(request) }
            }
        }
    }

    private fun startService(controller: TestController) {
        assertEquals(JobResponse.Created, users.submit(controller, JOB).get())
        await("the service runs") { worker.activeTasks.size == 1 }
    }

    private fun assertCancellationStopsTheTask(controller: TestController) {
        assertEquals(JobResponse.Observed(JobPhase.CANCELLED), users.cancel(controller, JOB).get())
        await("the task has ended") { worker.activeTasks.isEmpty() }
        assertEquals(0, worker.sim.tasksLostWithLease, "the task must be stopped, not lost with the machine's lease")
    }

    @Test
    fun `a leader stops the tasks of a job whose cancellation its own controller confirmed just before a store outage`() {
        // Guards against ran_cancelled: the leader renewed the lease throughout, since it learned of such a cancellation only from the store.
        val leader = cluster.startController("plot-0")
        startService(leader)
        beginOutageAfterNextCancellation()
        await("the leader has no watch at the store") { unansweredWatches.get() > 0 }
        assertCancellationStopsTheTask(leader)
    }

    @Test
    fun `a leader stops the tasks of a job whose cancellation its own controller confirmed during its replay, just before a store outage`() {
        // Guards against ran_cancelled: the replay cannot go on in the outage, and leases are renewed meanwhile.
        val earlier = cluster.startController("plot-0")
        startService(earlier)
        val leader = cluster.startController("plot-1")
        val readOfRounds = cluster.faults.hold(leader.member) { it.path.startsWith("/store?starts=mf/p/") }
        earlier.stop()
        cluster.services.controllers = listOf(leader.address)
        readOfRounds.awaitApplied()
        beginOutageAfterNextCancellation()
        assertCancellationStopsTheTask(leader)
    }

    private companion object {
        const val JOB = "wk-000401"
        const val LONGER_THAN_A_TEST_MS = 300_000L
    }
}
