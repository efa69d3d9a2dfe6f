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

/** Responses to concurrent reads of the store arrive in any order: newer state must never be replaced by older state. */
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
        it.addPage(revision, jobs.associate { job -> job.spec.id to record(job) })
        it.complete()
    }

    /** The notifications of a listener, in order. */
    private fun notifications(): List<String> {
        val notified = ArrayList<String>()
        replica.listener =
            object : JobListener {
                override fun onJobChanged(job: AcceptedJob) {
                    notified += "${job.spec.id} changed at ${job.revision}"
                }

                override fun onJobRemoved(id: String) {
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
    fun `changes are applied in the order of their revisions, not of the list`() {
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
    fun `the two keys of one transaction may arrive in either order`() {
        val ends = listOf(JobChange.Ended("wk-1", 440, done), JobChange.Removed("wk-1", 440))
        for (changes in listOf(ends, ends.reversed())) {
            val replica = JobReplica()
            replica.beginSnapshot().use {
                it.addPage(430, mapOf("wk-1" to record(job(420))))
                it.complete()
            }
            replica.apply(changes, upTo = 440)
            assertEquals(KnownJob.Ended(done), replica.known("wk-1"))
            assertTrue(replica.unfinishedJobs.isEmpty())
        }
    }

    @Test
    fun `a late watch response does not restore a removed job`() {
        load(400, job(390))
        replica.apply(listOf(JobChange.Removed("wk-1", 420), written(job(425, "wk-2"))), upTo = 430)
        replica.apply(listOf(written(job(410))), upTo = 412)
        assertEquals(setOf("wk-2"), replica.unfinishedJobs.keys)
        assertEquals(430, replica.revision)
    }

    @Test
    fun `a snapshot completed late does not undo changes applied in the meantime`() {
        // The watch has shown wk-2 and the removal of wk-1, which may have been confirmed to users; the leader must not see older state.
        load(400, job(390))
        val snapshot = replica.beginSnapshot()
        snapshot.addPage(410, mapOf("wk-1" to record(job(390)), "wk-3" to record(job(405, "wk-3"))))
        replica.historyCompacted(400)
        replica.apply(listOf(written(job(405, "wk-3")), JobChange.Removed("wk-1", 420), written(job(425, "wk-2"))), upTo = 430)
        val notified = notifications()
        snapshot.complete()
        snapshot.close()
        assertEquals(setOf("wk-2", "wk-3"), replica.unfinishedJobs.keys)
        assertEquals(430, replica.revision)
        assertTrue(replica.isLoaded)
        assertEquals(emptyList<String>(), notified)
    }

    @Test
    fun `a snapshot completed after a newer one does not restore jobs that have ended since`() {
        load(400, job(390))
        replica.historyCompacted(400)
        val older = replica.beginSnapshot()
        older.addPage(410, mapOf("wk-1" to record(job(390)), "wk-2" to record(job(405, "wk-2"))))
        load(450)
        val notified = notifications()
        older.complete()
        older.close()
        assertTrue(replica.unfinishedJobs.isEmpty())
        assertEquals(450, replica.revision)
        assertEquals(emptyList<String>(), notified)
    }

    @Test
    fun `a snapshot removes exactly the jobs that it does not contain`() {
        load(400, job(390), job(391, "wk-2"))
        val notified = notifications()
        load(450, job(440, "wk-2", cancelled = true))
        assertEquals(mapOf("wk-2" to job(440, "wk-2", cancelled = true)), replica.unfinishedJobs)
        assertEquals(setOf("wk-1 removed", "wk-2 changed at 440"), notified.toSet())
    }

    @Test
    fun `changes shown by a later page are not undone by the next watch`() {
        replica.beginSnapshot().use {
            it.addPage(400, mapOf("wk-1" to record(job(390))))
            it.addPage(430, mapOf("wk-2" to record(job(425, "wk-2", cancelled = true))))
            it.complete()
        }
        assertEquals(400, replica.revision)
        replica.apply(listOf(written(job(410, "wk-2"))), upTo = 415)
        assertEquals(KnownJob.Live(job(425, "wk-2", cancelled = true)), replica.known("wk-2"))
    }

    @Test
    fun `compaction of changes that have already been applied does not require a snapshot`() {
        load(400)
        replica.apply(emptyList(), upTo = 500)
        replica.historyCompacted(400)
        assertTrue(replica.isLoaded)
        replica.historyCompacted(500)
        assertFalse(replica.isLoaded)
    }

    @Test
    fun `a newer readable record replaces an unreadable one, and a final state replaces both`() {
        load(400)
        replica.apply(listOf(JobChange.Written("wk-1", JobRecord.Unreadable(410))), upTo = 410)
        assertEquals(KnownJob.Unreadable, replica.known("wk-1"))
        replica.apply(listOf(written(job(420))), upTo = 420)
        assertEquals(KnownJob.Live(job(420)), replica.known("wk-1"))
        replica.onJobEnded("wk-1", done)
        assertEquals(KnownJob.Ended(done), replica.known("wk-1"))
    }

    @Test
    fun `a job whose final state was evicted from the cache is not pending again`() {
        load(400)
        replica.apply(listOf(JobChange.Ended("wk-1", 410, FinalState(JobPhase.CANCELLED, 0)), written(job(410, cancelled = true))), upTo = 410)
        repeat(StoreConstants.MAX_CACHED_FINAL_STATES) { replica.onJobEnded("wk-other-$it", done) }
        assertEquals(KnownJob.Live(job(410, cancelled = true)), replica.known("wk-1"))
        replica.apply(listOf(JobChange.Removed("wk-1", 420)), upTo = 420)
        assertEquals(null, replica.known("wk-1"), "only the state service has its final state, and is queried")
    }
}
