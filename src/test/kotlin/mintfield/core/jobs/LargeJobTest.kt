package mintfield.core.jobs

import mintfield.Fixtures
import mintfield.core.CommitResult
import mintfield.core.Scheduler
import mintfield.core.Write
import mintfield.core.model.TaskId
import mintfield.core.model.TaskState
import mintfield.core.model.TaskStatus
import mintfield.io.store.JobRecordCodec
import mintfield.io.store.RoundCodec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class LargeJobTest {
    @Test
    fun `a job of 100,000 tasks is planned in transactions that fit the smaller deployment`() {
        val big = Fixtures.box.copy(cpus = 64.0, memoryGb = 256.0)
        val scheduler = Scheduler(Fixtures.settings, 1) { }
        scheduler.fleet.machineTypesRead(listOf(big), 0)
        scheduler.replay.complete(0)
        repeat(40) { scheduler.heartbeat(Fixtures.heartbeat("m-%06d".format(it), 1, 1), mayAct = true, nowMs = 1) }
        val spec = Fixtures.spec("wk-000001", tasks = 100_000)
        scheduler.jobChanged(Fixtures.accepted(spec, 2), 1)
        assertTrue(JobRecordCodec.encode(Fixtures.accepted(spec, 2)).size < 8 * 1024)
        var now = 1_000L
        var done = 0
        val sequences = LongArray(40) { 1 }
        repeat(10) {
            now += 300
            scheduler.nextCommit(now, now, 16)?.let { commit ->
                assertTrue(commit.writes.size <= 16)
                val sizes = commit.writes.filterIsInstance<Write.RecordRound>().map { RoundCodec.encode(it.record).size }
                assertTrue(sizes.all { it <= 8 * 1024 }, "$sizes")
                scheduler.committed(commit, CommitResult.Done(now), now)
            }
            // Every worker reports all tasks planned on it as done.
            for (machine in scheduler.cluster.machines.values
                .toList()) {
                val number = machine.id.substringAfter('-').toInt()
                val ended =
                    machine.attempts.map {
                        TaskStatus(TaskId(spec.id, it.index), it.number, TaskState.ENDED, mintfield.core.model.ExitReason.DONE)
                    }
                done += ended.size
                scheduler.heartbeat(Fixtures.heartbeat(machine.id, ++sequences[number], 1, *ended.toTypedArray()), mayAct = true, nowMs = now)
            }
        }
        val progress =
            scheduler.cluster.jobs
                .getValue(spec.id)
                .progress
        assertEquals(done, (0 until spec.tasks).count { progress.isDone(it) })
        assertTrue(done > 2_000, "only $done tasks done")
    }
}
