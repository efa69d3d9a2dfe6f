package mintfield.core.ownership

import mintfield.Fixtures
import mintfield.core.CommitResult
import mintfield.core.HeartbeatResponse
import mintfield.core.Scheduler
import mintfield.core.Write
import mintfield.core.model.ExitReason
import mintfield.core.model.TaskState
import mintfield.core.model.Team
import mintfield.core.model.WorkerCommand
import mintfield.core.ownership.Assignment.Offered
import mintfield.core.ownership.Assignment.Owned
import mintfield.core.ownership.Assignment.Releasing
import mintfield.core.ownership.AssignmentChange.Kind
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Moves of one machine, step by step, with concurrent events such as cancellation, failover and release. */
class HandoverTest {
    private val machine = "m-1"
    private val settings = Fixtures.settings.copy(teams = listOf(Team("a-team", 0.0, 0.0, 0.0, 0.0), Team("b-team", 0.0, 0.0, 0.0, 0.0)))
    private val live = HashSet(listOf("a", "b"))
    private val shards =
        object : Shards {
            override fun isKnown(shard: String) = shard in setOf("a", "b")

            override fun isLive(shard: String) = shard in live

            override fun spare(shard: String) = 1
        }
    private var now = 1_000L
    private var revision = 100L
    private val job = Fixtures.accepted(Fixtures.spec("wk-1", tasks = 2, team = "a-team"), 5)
    private val cancelled = HashSet<String>()

    /** The leader of a shard, with its replica of the assignment table and its part in moves. */
    private inner class Leader(
        shard: String,
        term: Long = ++revision,
    ) {
        val table = AssignmentTable()
        val ownership = ShardOwnership(shard, table) { if (it == job.spec.id && shard != "a") job.spec else null }
        val scheduler = Scheduler(settings, term, { it in cancelled }, ownership) { }
        val agent = HandoverAgent(ownership, table, scheduler, shards, { _, _ -> shard == "a" }) { }
        val remoteTasks = RemoteTaskTracker(scheduler)
        val responder = ForeignTaskResponder(scheduler)

        init {
            updateTable(this)
            scheduler.fleet.machineTypesRead(listOf(Fixtures.box), now)
            scheduler.zoneFencing.recordsRead()
            if (shard == "a") scheduler.jobChanged(job, now)
            scheduler.replay.complete(now)
        }

        fun heartbeat(
            sequence: Long,
            term: Long,
            vararg tasks: mintfield.core.model.TaskStatus,
            incarnation: Long = 1,
        ) = scheduler.heartbeat(Fixtures.heartbeat(machine, sequence, term, *tasks, incarnation = incarnation), true, now)

        fun proposedKinds(): List<Kind> =
            agent
                .next(now)
                ?.also { pending = it }
                ?.changes
                .orEmpty()
                .map { it.kind }

        fun applyPending() {
            val transaction = pending!!
            revision++
            transaction.changes.forEach { storedAssignment = it.next }
            agent.applied(transaction, revision, now)
        }

        private var pending: AssignmentTransaction? = null
    }

    private var storedAssignment: Assignment? = Owned("a")

    private fun updateTable(leader: Leader) {
        leader.table.apply(AssignmentTable.blockOf(machine), AssignmentBlock(revision, storedAssignment?.let { mapOf(machine to it) }.orEmpty()))
        leader.table.caughtUp(revision)
    }

    private fun store(
        step: AssignmentTransition,
        vararg leaders: Leader,
    ) {
        storedAssignment = (step as AssignmentTransition.Allowed).next
        revision++
        leaders.forEach(::updateTable)
    }

    /** A leader of shard a whose machine has sent heartbeats and whose job is waiting. */
    private fun ready(): Leader {
        val a = Leader("a")
        a.heartbeat(1, 0)
        a.heartbeat(2, a.scheduler.cluster.term)
        now += 1_000
        return a
    }

    /** A leader of shard a with both tasks of the job running on the machine. */
    private fun running(): Leader {
        val a = ready()
        val commit = a.scheduler.nextCommit(now, now, 16)!!
        a.scheduler.committed(commit, CommitResult.Done(++revision), now)
        a.heartbeat(3, a.scheduler.cluster.term)
        val attempts =
            a.scheduler.cluster.machines
                .getValue(machine)
                .attempts
        assertEquals(2, attempts.size)
        a.heartbeat(4, a.scheduler.cluster.term, *tasks(a, TaskState.RUNNING))
        return a
    }

    private fun tasks(
        a: Leader,
        state: TaskState,
        cause: ExitReason? = null,
    ) = a.scheduler.cluster.jobs
        .getValue("wk-1")
        .activeAttempts
        .map { Fixtures.task("wk-1/${it.index}", it.number, state, cause) }
        .toTypedArray()

    /** Moves the machine from shard a to shard b, up to and including the adoption. */
    private fun moved(a: Leader): Leader {
        store(Handover.order(storedAssignment, "b", shards), a)
        assertEquals(listOf(Kind.RELEASE), a.proposedKinds())
        a.applyPending()
        val b = Leader("b")
        assertEquals(listOf(Kind.ADOPT), b.proposedKinds())
        b.applyPending()
        updateTable(a)
        return b
    }

    private fun queryForeignTasks(
        a: Leader,
        b: Leader,
    ): ForeignTaskResponse {
        now += 1_000
        val query = a.remoteTasks.dueQueries(now).single()
        return b.responder.respond(query, now).also { a.remoteTasks.applyResponse(query, it, now) }
    }

    private fun commands(response: HeartbeatResponse) = (response as HeartbeatResponse.Commands).commands

    @Test
    fun `tasks continue to run through a move, and their results reach the leader of their job once`() {
        val a = running()
        val running = tasks(a, TaskState.RUNNING)
        val b = moved(a)
        assertEquals(HeartbeatResponse.NotOwner, a.heartbeat(5, 0))
        assertEquals(ForeignTaskResponse.NoHeartbeatYet, queryForeignTasks(a, b))
        assertTrue(commands(b.heartbeat(5, a.scheduler.cluster.term, *running)).isEmpty())
        val token = (b.heartbeat(6, a.scheduler.cluster.term, *running) as HeartbeatResponse.Commands).term
        assertTrue(token > a.scheduler.cluster.term)
        b.heartbeat(7, token, *running)
        assertEquals(
            2.0,
            b.scheduler.cluster.machines
                .getValue(machine)
                .occupancy
                .foreignCpus,
        )
        assertTrue(queryForeignTasks(a, b) is ForeignTaskResponse.Status)
        val ended = running.map { it.copy(state = TaskState.ENDED, cause = ExitReason.DONE) }.toTypedArray()
        assertTrue(commands(b.heartbeat(8, token, *ended)).isEmpty(), "a result is kept until it is recorded")
        queryForeignTasks(a, b)
        assertTrue(
            a.scheduler.cluster.jobs
                .getValue("wk-1")
                .allDone,
        )
        val commit = a.scheduler.nextCommit(now + 5_000, now, 16)!!
        a.scheduler.committed(commit, CommitResult.Done(++revision), now)
        queryForeignTasks(a, b)
        assertEquals(2, commands(b.heartbeat(9, token, *ended)).filterIsInstance<WorkerCommand.Acknowledge>().size)
    }

    @Test
    fun `a job that is cancelled between release and adoption is stopped by the new owner`() {
        val a = running()
        val running = tasks(a, TaskState.RUNNING)
        store(Handover.order(storedAssignment, "b", shards), a)
        a.proposedKinds()
        a.applyPending()
        cancelled.add("wk-1")
        a.scheduler.cancellationConfirmed("wk-1", now)
        val b = Leader("b")
        b.proposedKinds()
        b.applyPending()
        assertEquals(2, commands(b.heartbeat(5, 0, *running)).filterIsInstance<WorkerCommand.Stop>().size)
    }

    @Test
    fun `the new owner stops the tasks of a job whose cancellation was confirmed to a user, also past its lease and unread in the store`() {
        // Guards against ran_cancelled in a store outage: the leader of the job requests no stop past its lease, and the owner renews the machine's lease.
        val a = running()
        val running = tasks(a, TaskState.RUNNING)
        val b = moved(a)
        b.scheduler.cancellationConfirmed("wk-1", now)
        val pastLease = b.scheduler.heartbeat(Fixtures.heartbeat(machine, 5, 0, *running), mayAct = false, now)
        assertEquals(2, commands(pastLease).filterIsInstance<WorkerCommand.Stop>().size)
        assertEquals(2, commands(b.heartbeat(6, 0, *running)).filterIsInstance<WorkerCommand.Stop>().size)
    }

    @Test
    fun `a new incarnation releases the attempts of the previous incarnation`() {
        val a = running()
        val b = moved(a)
        b.heartbeat(5, 0, incarnation = 2)
        b.heartbeat(6, b.ownership.epoch(machine), incarnation = 2)
        assertEquals(ForeignTaskResponse.Status(emptyList()), queryForeignTasks(a, b))
        assertEquals(
            2,
            a.scheduler.cluster.jobs
                .getValue("wk-1")
                .waitingCount,
        )
    }

    @Test
    fun `attempts on a machine whose assignment was deleted are released`() {
        val a = running()
        moved(a)
        storedAssignment = null
        revision++
        updateTable(a)
        a.agent.next(now)
        assertEquals(
            2,
            a.scheduler.cluster.jobs
                .getValue("wk-1")
                .waitingCount,
        )
    }

    @Test
    fun `a machine that is being released to the cloud is not handed over, and its assignment is deleted after the release`() {
        val a = running()
        a.scheduler.fleet.scheduleRelease(
            a.scheduler.cluster.machines
                .getValue(machine),
            now,
            "drained",
        )
        store(Handover.order(storedAssignment, "b", shards), a)
        assertEquals(emptyList<Kind>(), a.proposedKinds())
        a.scheduler.fleet.released(listOf(machine), now)
        assertEquals(listOf(Kind.DROP), a.proposedKinds())
        a.applyPending()
        assertNull(storedAssignment)
    }

    @Test
    fun `a machine is not released while a plan for it is being written, and a plan that was never sent is cancelled`() {
        val a = ready()
        val commit = a.scheduler.nextCommit(now, now, 16)!!
        store(Handover.order(storedAssignment, "b", shards), a)
        assertEquals(emptyList<Kind>(), a.proposedKinds())
        a.scheduler.committed(commit, CommitResult.Done(++revision), now)
        assertEquals(listOf(Kind.RELEASE), a.proposedKinds())
        assertTrue(tasks(a, TaskState.RUNNING).isEmpty())
    }

    @Test
    fun `a machine is not released while a direct call is unanswered, and an attempt whose start may have been carried out stays`() {
        val a = ready()
        a.scheduler.committed(a.scheduler.nextCommit(now, now, 16)!!, CommitResult.Done(++revision), now)
        val call = a.scheduler.directCalls(now, 10).single()
        store(Handover.order(storedAssignment, "b", shards), a)
        assertEquals(emptyList<Kind>(), a.proposedKinds())
        a.scheduler.directCallUnanswered(call, sent = true, now)
        assertEquals(listOf(Kind.RELEASE), a.proposedKinds())
        assertEquals(2, tasks(a, TaskState.RUNNING).size)
    }

    @Test
    fun `heartbeats of a machine that returns to a former owner do not prove that tasks are absent before its worker has seen the new token`() {
        val a = running()
        val b = moved(a)
        store(Handover.order(storedAssignment, "a", shards), b)
        assertEquals(listOf(Kind.RELEASE), b.proposedKinds())
        b.applyPending()
        updateTable(a)
        assertEquals(listOf(Kind.ADOPT), a.proposedKinds())
        a.applyPending()
        a.heartbeat(7, a.scheduler.cluster.term)
        assertEquals(2, tasks(a, TaskState.RUNNING).size, "commands sent with b's token may not have reached the worker yet")
        a.heartbeat(8, a.ownership.epoch(machine))
        assertEquals(0, tasks(a, TaskState.RUNNING).size)
    }

    @Test
    fun `a successor of the owner's leader continues a move from the assignment table`() {
        val a = running()
        store(Handover.order(storedAssignment, "b", shards), a)
        val successor = Leader("a")
        assertEquals(listOf(Kind.RELEASE), successor.proposedKinds())
        successor.applyPending()
        assertEquals(Offered("a", "b"), storedAssignment)
        assertEquals(listOf(Kind.ADOPT), Leader("b").proposedKinds())
    }

    @Test
    fun `an offer to a shard without a leader is taken back, and the token of its owner is higher than before`() {
        val a = running()
        val before = a.scheduler.cluster.term
        store(Handover.order(storedAssignment, "b", shards), a)
        a.proposedKinds()
        a.applyPending()
        live.remove("b")
        assertEquals(emptyList<Kind>(), a.proposedKinds())
        now += 9_000
        assertEquals(listOf(Kind.TAKE_BACK), a.proposedKinds())
        a.applyPending()
        assertEquals(Owned("a"), storedAssignment)
        assertTrue((a.heartbeat(5, before, *tasks(a, TaskState.RUNNING)) as HeartbeatResponse.Commands).term > before)
    }

    @Test
    fun `after an unanswered release the owner does not act for the machine until its term has risen and the table has been read`() {
        val a = running()
        store(Handover.order(storedAssignment, "b", shards), a)
        val transaction = a.agent.next(now)!!
        a.agent.unanswered(transaction)
        assertEquals(listOf(Write.RaiseTerm), a.scheduler.nextCommit(now, now, 16)!!.writes)
        assertEquals(HeartbeatResponse.NotOwner, a.heartbeat(5, 0))
        assertNull(a.agent.next(now))
        a.scheduler.termRaised(++revision, now)
        assertNull(a.agent.next(now), "the table is older than the term")
        updateTable(a)
        assertEquals(listOf(Kind.RELEASE), a.proposedKinds())
    }

    @Test
    fun `of two concurrent orders one is refused, and any controller may cancel a move before the adoption`() {
        assertEquals(AssignmentTransition.Refused(AssignmentRefusal.ALREADY_MOVING), Handover.order(Releasing("a", "b"), "b", shards))
        assertEquals(AssignmentTransition.Allowed(Owned("a")), Handover.cancel(Releasing("a", "b")))
        assertEquals(AssignmentTransition.Allowed(Owned("a")), Handover.cancel(Offered("a", "b")))
        assertEquals(AssignmentTransition.Refused(AssignmentRefusal.NOT_MOVING), Handover.cancel(Owned("b")))
        assertEquals(AssignmentTransition.Refused(AssignmentRefusal.UNKNOWN_MACHINE), Handover.order(null, "b", shards))
        assertEquals(AssignmentTransition.Refused(AssignmentRefusal.UNKNOWN_SHARD), Handover.order(Owned("a"), "x", shards))
        assertEquals(AssignmentTransition.Refused(AssignmentRefusal.UNKNOWN_OWNER), Handover.order(Owned("x"), "b", shards))
        live.remove("b")
        assertEquals(AssignmentTransition.Refused(AssignmentRefusal.TARGET_NOT_LIVE), Handover.order(Owned("a"), "b", shards))
        assertEquals(AssignmentTransition.Refused(AssignmentRefusal.NOT_ITS_TARGET), Handover.adopt(Offered("a", "b"), "a"))
        assertEquals(AssignmentTransition.Refused(AssignmentRefusal.NOT_OWNER), Handover.release(Releasing("a", "b"), "b"))
        assertEquals(AssignmentTransition.Refused(AssignmentRefusal.ALREADY_ASSIGNED), Handover.claim(Owned("a"), "b"))
    }

    @Test
    fun `no leader acts for the machines of an undecodable block, and the block is not overwritten`() {
        val a = running()
        a.table.apply(AssignmentTable.blockOf(machine), AssignmentBlock(++revision, null))
        a.table.caughtUp(revision)
        assertEquals(KnownAssignment.Unknown, a.table.of(machine))
        assertFalse(a.ownership.owns(machine) || a.ownership.isUnowned(machine))
        assertEquals(HeartbeatResponse.NotOwner, a.heartbeat(5, 0))
        assertNull(a.table.blockWith(machine, Owned("b")))
        a.scheduler.fleet.machinesListed(emptyList(), false, now)
        assertNull(a.agent.next(now))
        assertEquals(
            2,
            a.scheduler.cluster.jobs
                .getValue("wk-1")
                .activeAttempts.size,
        )
    }
}
