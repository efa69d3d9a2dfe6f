package mintfield.core

import mintfield.core.constants.LeadershipConstants
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState
import mintfield.core.jobs.Attempt
import mintfield.core.jobs.AttemptState
import mintfield.core.jobs.Job
import mintfield.core.jobs.RunTimes
import mintfield.core.model.MachineType
import mintfield.core.model.Settings
import mintfield.core.model.StateLimits
import mintfield.core.model.StateLimitsInForce
import mintfield.core.model.TaskId
import mintfield.core.ownership.Ownership
import mintfield.core.ownership.WholeFleet

/** The state of the leader's core: unfinished jobs, machines, and which attempt of which task occupies which machine. */
class Cluster(
    val settings: Settings,
    /** The term at the election; later ones of the same leader are higher. */
    val firstTerm: Long,
    val ownership: Ownership = WholeFleet,
    /** What the state service permits now. */
    private val stateLimits: StateLimitsInForce = StateLimitsInForce(settings),
    private val log: (String) -> Unit,
) {
    val limits: StateLimits get() = stateLimits.current
    val timings = Timings(settings)
    val bounds = ConnectionLimits(settings)
    val quotas = TeamQuotas(settings)

    /** The leader's term, which is the revision of the leader key. */
    var term = firstTerm
        private set
    val runTimes = RunTimes()

    /** The machine types that the cloud offers, by name. */
    val types = LinkedHashMap<String, MachineType>()
    val jobs = LinkedHashMap<String, Job>()
    val machines = LinkedHashMap<String, Machine>()
    private var lastAttemptNumber = 0L

    /** Jobs that have failed and not succeeded. */
    val unprovenJobs = LinkedHashSet<Job>()

    /** Jobs to be cancelled because a predecessor is. */
    val cancelledByDependency = LinkedHashSet<Job>()

    /** Set when a job has become ready: its round need not wait until the next one is due. */
    var roundWanted = false

    /** When the replay of this leader ended. */
    var replayedAtMs = 0L

    /** Until when nothing is planned, since a record could not be read. */
    var holdUntilMs = 0L

    /** Set when something waits for workers to see a higher term. */
    var raiseWanted = false

    /** The leader key was rewritten at revision [newTerm]: whoever waited for a higher term has it. */
    fun termRaised(newTerm: Long) {
        term = newTerm
        raiseWanted = false
    }

    /** The fencing token of commands to [machine]: the leader's term, or the machine's ownership epoch if that is higher. */
    fun token(machine: Machine): Long = maxOf(term, machine.lease.epoch)

    /** Whether [machine] has seen a token that only this leader has given it, so that nobody else has renewed its lease since. */
    fun hasSeenOurToken(machine: Machine): Boolean = machine.termSeen >= maxOf(firstTerm, machine.lease.epoch)

    /**
     * A number for the attempts of one round that no earlier round or leader has used. It counts as used only with [attemptUsed]:
     * an attempt that is planned costs a write and so a revision. Since a term's numbers begin at a multiple of its revision, they
     * never reach those of the next term.
     */
    fun attemptNumber(): Long = maxOf(lastAttemptNumber + 1, term * LeadershipConstants.ATTEMPTS_PER_TERM)

    /** An attempt was planned with [number], which is not given out again. */
    fun attemptUsed(number: Long) {
        lastAttemptNumber = number
    }

    /** The most tasks that one round may place, in proportion to the CPUs of the fleet. */
    fun roundTasks(): Int {
        val cpus = machines.values.sumOf { if (it.state == MachineState.UP) it.type.cpus else 0.0 }
        return maxOf(PlacementConstants.MIN_ROUND_TASKS, (cpus * PlacementConstants.ROUND_TASKS_PER_CPU).toInt())
    }

    /** Lets attempt [number] of task [index] of [job] occupy [machine], to be started in [incarnation] of its worker. */
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

    /** Frees what [attempt] occupies. Only to be called with proof that it is not on its machine and will not come to be there. */
    fun release(
        attempt: Attempt,
        nowMs: Long,
        proof: String,
    ) {
        if (!attempt.live) return
        val job = attempt.job
        attempt.moveTo(AttemptState.RELEASED, nowMs)
        attempt.machine.vacate(attempt)
        job.progress.remove(attempt)
        quotas.usage(job.spec.team).subtract(job.spec)
        // The record still names the old machine: unless it is written anew, a successor waits for proof from a machine long gone.
        job.progress.unwritten.waitSince(nowMs)
        val isRoutine = proof == DONE || proof == DESCRIBED_ANEW || proof == NEVER_SENT
        if (!isRoutine) log("released ${job.spec.id}/${attempt.index} attempt ${attempt.number} from ${attempt.machine.id}: $proof")
    }

    /** Wants [attempt] gone: at once if its start was never sent, else by a stop and proof. [quietly]: another log line covers it. */
    fun stop(
        attempt: Attempt,
        nowMs: Long,
        reason: String,
        quietly: Boolean = false,
    ) {
        if (!attempt.live || attempt.state == AttemptState.STOPPING) return
        if (!attempt.startSent) return release(attempt, nowMs, if (quietly) NEVER_SENT else "never sent; $reason")
        if (!quietly) log("stopping ${attempt.job.spec.id}/${attempt.index} attempt ${attempt.number} on ${attempt.machine.id}: $reason")
        attempt.moveTo(AttemptState.STOPPING, nowMs)
    }

    /** Stops all tasks of the cancelled [job], with no log line for each. */
    fun stopAll(
        job: Job,
        nowMs: Long,
    ) = job.activeAttempts.toList().forEach { stop(it, nowMs, "cancelled", quietly = true) }

    /** Task [index] of [job] has completed. */
    fun markDone(
        job: Job,
        index: Int,
        nowMs: Long,
    ) {
        if (!job.progress.setDone(index)) return
        job.progress.unwritten.waitSince(nowMs)
    }

    /** The task that [attempt] is one of. */
    fun taskId(attempt: Attempt) = TaskId(attempt.job.spec.id, attempt.index)

    /** Proofs for [release] that are so common that they are not logged. */
    companion object {
        /** The task has completed. */
        const val DONE = "done"

        /** Its start was never sent. */
        const val NEVER_SENT = "never sent"

        /** A later record, or the lack of one, replaces what was known of the attempt. */
        const val DESCRIBED_ANEW = "described anew"
    }
}
