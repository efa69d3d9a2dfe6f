package mintfield.history

import mintfield.core.model.JobPhase
import mintfield.history.RequestKind.CANCEL
import mintfield.history.RequestKind.POLL
import mintfield.history.RequestKind.SUBMIT
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Short handwritten histories with and without anomalies. */
class HistoryCheckerTest {
    private val pending = JobResponse.Observed(JobPhase.PENDING)
    private val running = JobResponse.Observed(JobPhase.RUNNING)
    private val done = JobResponse.Observed(JobPhase.DONE)
    private val cancelled = JobResponse.Observed(JobPhase.CANCELLED)

    private fun operation(
        kind: RequestKind,
        from: Long,
        to: Long,
        response: JobResponse,
        job: String = "wk-1",
    ) = Operation(job, "user", "plot-0", kind, from, to, response)

    private fun anomalies(
        vararg history: Operation,
        completedNanos: (String) -> Long? = { Long.MIN_VALUE },
    ) = HistoryChecker(completedNanos).check(history.toList()).map { it.anomaly }

    @Test
    fun `a job that is accepted, runs and ends passes`() {
        val history =
            arrayOf(
                operation(POLL, 0, 1, JobResponse.NotFound),
                operation(SUBMIT, 2, 4, JobResponse.Created),
                operation(SUBMIT, 5, 6, pending),
                operation(POLL, 7, 8, running),
                operation(POLL, 9, 10, pending),
                operation(POLL, 11, 12, done),
                operation(CANCEL, 13, 14, done),
                operation(SUBMIT, 15, 16, done),
            )
        assertEquals(emptyList<Anomaly>(), anomalies(*history))
    }

    @Test
    fun `responses to overlapping requests pass in either order`() {
        val history =
            arrayOf(
                operation(SUBMIT, 0, 10, JobResponse.Created),
                operation(POLL, 1, 2, JobResponse.NotFound),
                operation(CANCEL, 3, 6, cancelled),
                operation(SUBMIT, 5, 9, pending),
            )
        assertEquals(emptyList<Anomaly>(), anomalies(*history))
    }

    @Test
    fun `an indeterminate response passes`() {
        val history = arrayOf(operation(SUBMIT, 0, 1, JobResponse.Created), operation(POLL, 2, 3, JobResponse.Indeterminate), operation(POLL, 4, 5, pending))
        assertEquals(emptyList<Anomaly>(), anomalies(*history))
    }

    @Test
    fun `an unfinished phase after a final one is reported as a stale state for polls and repeated submissions`() {
        for (kind in listOf(POLL, SUBMIT)) {
            assertEquals(
                listOf(Anomaly.STALE_STATE),
                anomalies(operation(SUBMIT, 0, 1, JobResponse.Created), operation(CANCEL, 2, 3, cancelled), operation(kind, 4, 5, pending)),
            )
            assertEquals(
                listOf(Anomaly.STALE_STATE),
                anomalies(operation(SUBMIT, 0, 1, JobResponse.Created), operation(POLL, 2, 3, done), operation(kind, 4, 5, running)),
            )
        }
    }

    @Test
    fun `an accepted job that is not found, created again or rejected is reported as a stale state`() {
        for (older in listOf(JobResponse.NotFound, JobResponse.Created, JobResponse.Rejected)) {
            assertEquals(listOf(Anomaly.STALE_STATE), anomalies(operation(SUBMIT, 0, 1, pending), operation(SUBMIT, 2, 3, older)))
        }
    }

    @Test
    fun `a job created after its final state is reported as a stale state`() {
        val history = arrayOf(operation(CANCEL, 0, 1, cancelled), operation(SUBMIT, 2, 3, JobResponse.Created))
        assertEquals(listOf(Anomaly.STALE_STATE), anomalies(*history))
    }

    @Test
    fun `done and cancelled responses conflict, even if the requests overlap`() {
        assertEquals(listOf(Anomaly.CONFLICTING_FINAL_STATES), anomalies(operation(CANCEL, 0, 9, cancelled), operation(POLL, 1, 8, done)))
        assertEquals(listOf(Anomaly.CONFLICTING_FINAL_STATES), anomalies(operation(CANCEL, 0, 1, cancelled), operation(POLL, 2, 3, done)))
    }

    @Test
    fun `cancelled before any user requested it is reported`() {
        assertEquals(listOf(Anomaly.CANCELLED_UNREQUESTED), anomalies(operation(POLL, 0, 1, cancelled)))
        assertEquals(listOf(Anomaly.CANCELLED_UNREQUESTED), anomalies(operation(POLL, 0, 1, cancelled), operation(CANCEL, 2, 3, cancelled)))
        assertEquals(emptyList<Anomaly>(), anomalies(operation(CANCEL, 0, 1, JobResponse.Indeterminate), operation(POLL, 2, 3, cancelled)))
    }

    @Test
    fun `done before all tasks have completed is reported`() {
        val poll = operation(POLL, 0, 5, done)
        assertEquals(listOf(Anomaly.DONE_BEFORE_COMPLETION), anomalies(poll, completedNanos = { 6 }))
        assertEquals(listOf(Anomaly.DONE_BEFORE_COMPLETION), anomalies(poll, completedNanos = { null }))
        assertEquals(emptyList<Anomaly>(), anomalies(poll, completedNanos = { 5 }))
    }

    @Test
    fun `jobs are checked independently of each other`() {
        val history = arrayOf(operation(CANCEL, 0, 1, cancelled, job = "wk-1"), operation(POLL, 2, 3, pending, job = "wk-2"))
        assertEquals(emptyList<Anomaly>(), anomalies(*history))
    }
}
