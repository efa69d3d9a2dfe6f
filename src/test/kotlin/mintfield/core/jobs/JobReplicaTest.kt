package mintfield.core.jobs

import mintfield.Fixtures
import mintfield.core.constants.StoreConstants
import mintfield.core.model.AcceptedJob
import mintfield.core.model.FinalState
import mintfield.core.model.JobPhase
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Several reads of the store are under way at once, and arrive in any order: nothing may be replaced by something older. */
class JobReplicaTest {
    private val replica = JobReplica()
    private val done = FinalState(JobPhase.DONE, 1)

    private fun job(
        revision: Long,
        id: String = "wk-1",
        cancelled: Boolean = false,
    ) = Fixtures.accepted(Fixtures.spec(id), revision, cancelled = cancelled)

    private fun record(job: AcceptedJob) = JobRecord.Readable(job)

    private fun written(job: AcceptedJob) = JobChange.Written(job.spec.id, record(job))

    private fun load(
        revision: Long,
        vararg jobs: AcceptedJob,
    ) = replica.beginSnapshot().use {
        it.page(revision, jobs.associate { job -> job.spec.id to record(job) })
        it.complete()
    }

    /** What a listener is notified of, in that order. */
    private fun notifications(): List<String> {
        val notified = ArrayList<String>()
        replica.listener =
            object : JobListener {
                override fun changed(job: AcceptedJob) {
                    notified += "${job.spec.id} changed at ${job.revision}"
                }

                override fun removed(id: String) {
                    notified += "$id removed"
                }

                override fun becameReady(id: String) {
                    notified += "$id ready"
                }

                override fun dependencyCancelled(id: String) {
                    notified += "$id cancelled by dependency"
                }
            }
        return notified
    }

    @Test
    fun `the revision of a change decides, not its place in the list`() {
        load(400)
        val notified = notifications()
        replica.apply(listOf(written(job(432, cancelled = true)), written(job(430))), upTo = 433)
        assertEquals(KnownJob.Live(job(432, cancelled = true)), replica.known("wk-1"))
        assertEquals(listOf("wk-1 changed at 430", "wk-1 changed at 432"), notified)
        replica.apply(listOf(JobChange.Removed("wk-1", 450), written(job(440, cancelled = true))), upTo = 451)
        assertEquals(null, replica.known("wk-1"))
        assertEquals("wk-1 removed", notified.last())
    }

    @Test
    fun `the two keys of one transaction may come in either order`() {
        val ends = listOf(JobChange.Ended("wk-1", 440, done), JobChange.Removed("wk-1", 440))
        for (changes in listOf(ends, ends.reversed())) {
            val replica = JobReplica()
            replica.beginSnapshot().use {
                it.page(430, mapOf("wk-1" to record(job(420))))
                it.complete()
            }
            replica.apply(changes, upTo = 440)
            assertEquals(KnownJob.Ended(done), replica.known("wk-1"))
            assertTrue(replica.live.isEmpty())
        }
    }

    @Test
    fun `a watch that answers late brings nothing back`() {
        load(400, job(390))
        replica.apply(listOf(JobChange.Removed("wk-1", 420), written(job(425, "wk-2"))), upTo = 430)
        replica.apply(listOf(written(job(410))), upTo = 412)
        assertEquals(setOf("wk-2"), replica.live.keys)
        assertEquals(430, replica.revision)
    }

    @Test
    fun `a snapshot that is complete late takes back nothing that has been learned meanwhile`() {
        // The watch has shown wk-2 and the end of wk-1, and users may have been told; the leader must not see anything older.
        load(400, job(390))
        val snapshot = replica.beginSnapshot()
        snapshot.page(410, mapOf("wk-1" to record(job(390)), "wk-3" to record(job(405, "wk-3"))))
        replica.historyLost(400)
        replica.apply(listOf(written(job(405, "wk-3")), JobChange.Removed("wk-1", 420), written(job(425, "wk-2"))), upTo = 430)
        val notified = notifications()
        snapshot.complete()
        snapshot.close()
        assertEquals(setOf("wk-2", "wk-3"), replica.live.keys)
        assertEquals(430, replica.revision)
        assertTrue(replica.loaded)
        assertEquals(emptyList<String>(), notified)
    }

    @Test
    fun `a snapshot removes what it does not hold, and only that`() {
        load(400, job(390), job(391, "wk-2"))
        val notified = notifications()
        load(450, job(440, "wk-2", cancelled = true))
        assertEquals(mapOf("wk-2" to job(440, "wk-2", cancelled = true)), replica.live)
        assertEquals(setOf("wk-1 removed", "wk-2 changed at 440"), notified.toSet())
    }

    @Test
    fun `a later page may show later changes, which the next watch does not undo`() {
        replica.beginSnapshot().use {
            it.page(400, mapOf("wk-1" to record(job(390))))
            it.page(430, mapOf("wk-2" to record(job(425, "wk-2", cancelled = true))))
            it.complete()
        }
        assertEquals(400, replica.revision)
        replica.apply(listOf(written(job(410, "wk-2"))), upTo = 415)
        assertEquals(KnownJob.Live(job(425, "wk-2", cancelled = true)), replica.known("wk-2"))
    }

    @Test
    fun `a watch from long ago whose changes are lost does not unload what has been read since`() {
        load(400)
        replica.apply(emptyList(), upTo = 500)
        replica.historyLost(400)
        assertTrue(replica.loaded)
        replica.historyLost(500)
        assertFalse(replica.loaded)
    }

    @Test
    fun `of a record that cannot be read, and of one that can, the newer counts`() {
        load(400)
        replica.apply(listOf(JobChange.Written("wk-1", JobRecord.Unreadable(410))), upTo = 410)
        assertEquals(KnownJob.Unreadable, replica.known("wk-1"))
        replica.apply(listOf(written(job(420))), upTo = 420)
        assertEquals(KnownJob.Live(job(420)), replica.known("wk-1"))
        replica.ended("wk-1", done)
        assertEquals(KnownJob.Ended(done), replica.known("wk-1"))
    }

    @Test
    fun `a job whose final state has been dropped from the cache is not pending again`() {
        load(400)
        replica.apply(listOf(JobChange.Ended("wk-1", 410, FinalState(JobPhase.CANCELLED, 0)), written(job(410, cancelled = true))), upTo = 410)
        repeat(StoreConstants.MAX_CACHED_FINAL_STATES) { replica.ended("wk-other-$it", done) }
        assertEquals(KnownJob.Live(job(410, cancelled = true)), replica.known("wk-1"))
        replica.apply(listOf(JobChange.Removed("wk-1", 420)), upTo = 420)
        assertEquals(null, replica.known("wk-1"), "only the state service knows it now, and is asked")
    }
}
