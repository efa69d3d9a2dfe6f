package mintfield.core

import mintfield.core.constants.LeadershipConstants
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState
import mintfield.core.jobs.Attempt
import mintfield.core.jobs.AttemptState
import mintfield.core.jobs.CommandCounters
import mintfield.core.jobs.Job
import mintfield.core.jobs.RunTimes
import mintfield.core.model.MachineType
import mintfield.core.model.Settings
import mintfield.core.model.StateLimits
import mintfield.core.model.StateLimitsInForce
import mintfield.core.model.TaskId
import mintfield.core.ownership.Ownership
import mintfield.core.ownership.WholeFleet

/** The leader's scheduling state: unfinished jobs, machines, and the attempts that occupy machines. */
class Cluster(
    val settings: Settings,
    /** The term at the election. The leader's later terms are higher. */
    val firstTerm: Long,
    val ownership: Ownership = WholeFleet,
    /** The limits that the store enforces at present. */
    private val stateLimits: StateLimitsInForce = StateLimitsInForce(settings),
    private val log: (String) -> Unit,
) {
    val limits: StateLimits get() = stateLimits.current
    val timings = Timings(settings)
    val connectionLimits = ConnectionLimits(settings)
    val quotas = TeamQuotas(settings)
    val commandCounters = CommandCounters()
    val tokens = FencingTokens(firstTerm, ownership, commandCounters)

    /** The leader's current term: the revision of the leader key. */
    var term = firstTerm
        private set

    val runTimes = RunTimes()

    /** The machine types that the cloud offers, by name. */
    val types = LinkedHashMap<String, MachineType>()
    val jobs = LinkedHashMap<String, Job>()
    val machines = LinkedHashMap<String, Machine>()
    private var lastAttemptNumber = 0L

    /** Jobs with failed attempts and no successful one. */
    val unprovenJobs = LinkedHashSet<Job>()

    /** Jobs to be cancelled because a predecessor was cancelled. */
    val cancelledByDependency = LinkedHashSet<Job>()

    /** Whether a scheduling round is to run before the next one is due. */
    var roundRequested = false
        private set

    /** Time at which this leader's replay ended, on the monotonic clock. */
    var replayedAtMs = 0L
        private set

    /** Time before which no scheduling round places tasks, because a round record could not be read. */
    var planningSuspendedUntilMs = 0L
        private set

    /** Sets [roundRequested], as a job has become ready. */
    fun requestRound() {
        roundRequested = true
    }

    /** Clears [roundRequested], as a scheduling round begins. */
    fun roundBegun() {
        roundRequested = false
    }

    /** Sets [replayedAtMs]. */
    fun replayCompleted(nowMs: Long) {
        replayedAtMs = nowMs
    }

    /** Sets [planningSuspendedUntilMs]. */
    fun suspendPlanning(untilMs: Long) {
        planningSuspendedUntilMs = untilMs
    }

    /** Adopts [newTerm], the revision at which the leader key was rewritten. */
    fun termRaised(newTerm: Long) {
        term = newTerm
        tokens.leadershipConfirmed(newTerm)
    }

    /** Whether [machine] has seen a token that only this leader issues. No other controller can have renewed its lease since then. */
    fun hasSeenOurToken(machine: Machine): Boolean = machine.termSeen >= maxOf(firstTerm, machine.lease.epoch)

    /**
     * Returns an attempt number for one scheduling round, unused by earlier rounds and leaders. The number stays available until
     * [attemptUsed] is called with it.
     *
     * The numbers of a term start at a multiple of its revision. They never reach those of the next term, because each planned
     * attempt costs a write and therefore a revision.
     */
    fun attemptNumber(): Long = maxOf(lastAttemptNumber + 1, term * LeadershipConstants.ATTEMPTS_PER_TERM)

    /** Marks [number] as used by a planned attempt, so that it is not returned again. */
    fun attemptUsed(number: Long) {
        lastAttemptNumber = number
    }

    /** The maximum number of tasks that one round may place, in proportion to the CPUs of the machines that are up. */
    fun roundTasks(): Int {
        val cpus = machines.values.sumOf { if (it.state == MachineState.UP) it.type.cpus else 0.0 }
        return maxOf(PlacementConstants.MIN_ROUND_TASKS, (cpus * PlacementConstants.ROUND_TASKS_PER_CPU).toInt())
    }

    /** Binds attempt [number] of task [index] of [job] to [machine], for a start in [incarnation] of its worker. */
    fun occupy(
        job: Job,
        index: Int,
        number: Long,
        machine: Machine,
        incarnation: Long,
    ): Attempt {
        val attempt = Attempt(job, index, number, machine, incarnation)
        job.progress.add(attempt)
        machine.occupy(attempt)
        quotas.usage(job.spec.team).add(job.spec)
        return attempt
    }

    /** Frees the resources of [attempt]. Requires [proof] that the attempt is not running on its machine and cannot start there later. */
    fun release(
        attempt: Attempt,
        nowMs: Long,
        proof: String,
    ) {
        if (!attempt.isLive) return
        val job = attempt.job
        attempt.moveTo(AttemptState.RELEASED, nowMs)
        attempt.machine.vacate(attempt)
        val othersWait = job.waitingCount > 0
        job.progress.remove(attempt)
        if (!othersWait) job.waitBegan(nowMs)
        quotas.usage(job.spec.team).subtract(job.spec)
        // Until the job's record is rewritten it names the old machine, and a new leader would wait for proof from a machine that no longer exists.
        job.unwritten.waitSince(nowMs)
        val isRoutine = proof == DONE || proof == SUPERSEDED || proof == NEVER_SENT
        if (!isRoutine) log("released ${job.spec.id}/${attempt.index} attempt ${attempt.number} from ${attempt.machine.id}: $proof")
    }

    /** Ends [attempt]: releases it at once if its start was never sent, otherwise stops it and awaits proof. With [quietly] it logs nothing. */
    fun stop(
        attempt: Attempt,
        nowMs: Long,
        reason: String,
        quietly: Boolean = false,
    ) {
        if (!attempt.isLive || attempt.state == AttemptState.STOPPING) return
        if (!attempt.startSent) return release(attempt, nowMs, if (quietly) NEVER_SENT else "never sent; $reason")
        if (!quietly) log("stopping ${attempt.job.spec.id}/${attempt.index} attempt ${attempt.number} on ${attempt.machine.id}: $reason")
        attempt.moveTo(AttemptState.STOPPING, nowMs)
    }

    /** Stops all active attempts of the cancelled [job] without a log line for each. */
    fun stopAll(
        job: Job,
        nowMs: Long,
    ) = job.activeAttempts.toList().forEach { stop(it, nowMs, "cancelled", quietly = true) }

    /** Records that task [index] of [job] has completed. */
    fun markDone(
        job: Job,
        index: Int,
        nowMs: Long,
    ) {
        if (!job.progress.setDone(index)) return
        job.unwritten.waitSince(nowMs)
    }

    /** The id of the task of [attempt]. */
    fun taskId(attempt: Attempt) = TaskId(attempt.job.spec.id, attempt.index)

    /** Proofs for [release] that occur in normal operation and are therefore not logged. */
    companion object {
        /** The task has completed. */
        const val DONE = "done"

        /** The start of the attempt was never sent. */
        const val NEVER_SENT = "never sent"

        /** The state of the attempt was replaced by a later record or by the removal of its record. */
        const val SUPERSEDED = "superseded"
    }
}
