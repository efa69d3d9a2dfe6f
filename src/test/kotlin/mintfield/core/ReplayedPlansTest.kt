package mintfield.core

import mintfield.Fixtures
import mintfield.core.model.ExitReason
import mintfield.core.model.TaskState
import mintfield.core.model.TaskStatus
import mintfield.core.model.WorkerCommand
import mintfield.io.json.Json
import mintfield.io.store.RoundCodec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Which of the plans that a new leader replays it starts. */
class ReplayedPlansTest {
    private val scheduler =
        Scheduler(Fixtures.settings, TERM) { }.also {
            it.fleet.machineTypesRead(listOf(Fixtures.box), 0)
            it.jobChanged(Fixtures.accepted(Fixtures.spec(JOB, tasks = 2), 3), 0)
        }

    /** Replays the round record in [json], in the form in which it is stored. */
    private fun replay(
        revision: Long,
        json: String,
    ) {
        val record = RoundCodec.decode(Json.parseObject(json.toByteArray())!!) { scheduler.replay.unreadableJob(it.job!!) }
        scheduler.replay.round("1-$revision", record, revision, 0)
    }

    /** The commands in the response to a heartbeat of m-1 that reports [tasks] and has seen the new term. */
    private fun commands(vararg tasks: TaskStatus): List<WorkerCommand> {
        scheduler.replay.complete(10)
        val response = scheduler.heartbeat(Fixtures.heartbeat("m-1", 1, TERM, *tasks), mayAct = true, nowMs = 20)
        return (response as HeartbeatResponse.Commands).commands
    }

    private fun start(index: Int) = Fixtures.task("$JOB/$index", ATTEMPT, TaskState.RUNNING).let { WorkerCommand.Start(it.task, it.attempt) }

    @Test
    fun `a replayed plan is started`() {
        replay(4, """{"v":2,"parts":[{"job":"wk-1","shard":0,"plan":[["m-1",1,65536,"0-1"]]}]}""")
        replay(5, """{"v":2,"parts":[{"job":"wk-1","shard":0,"free":"1"}]}""")
        assertEquals(listOf(start(0)), commands())
    }

    @Test
    fun `a failure that a heartbeat from before the election shows releases no replayed plan`() {
        // Guards against ran_twice: an earlier leader may have had the worker forget the failure and start the attempt again.
        replay(4, """{"v":2,"parts":[{"job":"wk-1","shard":0,"plan":[["m-1",1,65536,"0"]]}]}""")
        scheduler.replay.complete(10)
        val failed = Fixtures.task("$JOB/0", ATTEMPT, TaskState.ENDED, ExitReason.ERROR)
        scheduler.heartbeat(Fixtures.heartbeat("m-1", 1, TERM - 1, failed), mayAct = true, nowMs = 20)
        assertEquals(1, activeAttempts())
        scheduler.heartbeat(Fixtures.heartbeat("m-1", 2, TERM, failed), mayAct = true, nowMs = 30)
        assertEquals(0, activeAttempts())
    }

    private fun activeAttempts() =
        scheduler.cluster.jobs
            .getValue(JOB)
            .activeAttempts.size

    @Test
    fun `a replayed plan is not started if a part of a record on its job cannot be decoded`() {
        // Guards against ran_twice: that part may state that the task runs elsewhere.
        replay(4, """{"v":2,"parts":[{"job":"wk-1","shard":0,"plan":[["m-1",1,65536,"0-1"]]}]}""")
        replay(5, """{"v":2,"parts":[{"job":"wk-1","shard":0,"plan":[["m-2",1,65537,"0-1","in a later form"]]}]}""")
        assertEquals(emptyList<WorkerCommand>(), commands())
    }

    @Test
    fun `a replayed plan that an earlier version may have taken back in a deleted record is released once the task is proven absent`() {
        // Guards against quota (review/1) in the first failover after an upgrade: the earlier version deleted the records of releases.
        replay(4, """{"parts":[{"job":"wk-1","shard":0,"plan":[["m-1",1,65536,"0-1"]]}]}""")
        replay(5, """{"parts":[{"job":"wk-1","shard":0,"free":"0"}]}""")
        assertEquals(emptyList<WorkerCommand>(), commands())
        assertEquals(0, activeAttempts())
    }

    @Test
    fun `a task of such a plan that its worker reports goes on`() {
        replay(4, """{"parts":[{"job":"wk-1","shard":0,"plan":[["m-1",1,65536,"0-1"]]}]}""")
        replay(5, """{"parts":[{"job":"wk-1","shard":0,"free":"0"}]}""")
        assertEquals(emptyList<WorkerCommand>(), commands(Fixtures.task("$JOB/1", ATTEMPT, TaskState.RUNNING)))
        assertEquals(
            listOf(1),
            scheduler.cluster.jobs
                .getValue(JOB)
                .activeAttempts
                .map { it.index },
        )
    }

    private companion object {
        const val TERM = 9L
        const val JOB = "wk-1"
        const val ATTEMPT = 65_536L
    }
}
