package mintfield.core

import mintfield.core.constants.LeadershipConstants
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState
import mintfield.core.jobs.Attempt
import mintfield.core.jobs.AttemptState
import mintfield.core.jobs.Job
import mintfield.core.jobs.RunTimes
import mintfield.core.model.JobSpec
import mintfield.core.model.MachineType
import mintfield.core.model.Settings
import mintfield.core.model.StateLimits
import mintfield.core.model.StateLimitsInForce
import mintfield.core.model.TaskId
import mintfield.core.ownership.Ownership
import mintfield.core.ownership.WholeFleet

/** What the leader knows: unfinished jobs, machines, and what occupies what. */
class Cluster(
    val settings: Settings,
    /** Term at the election; later ones of the same leader are higher. */
    val firstTerm: Long,
    val ownership: Ownership = WholeFleet,
    /** What the store permits now. */
    private val stateLimits: StateLimitsInForce = StateLimitsInForce(settings),
    private val log: (String) -> Unit,
) {
    class Usage {
        var cpus = 0.0
        var gpus = 0.0
    }

    val limits: StateLimits get() = stateLimits.current
    val timings = Timings(settings)
    val bounds = ConnectionLimits(settings)
    var term = firstTerm
    val runTimes = RunTimes()
    val types = LinkedHashMap<String, MachineType>()
    val jobs = LinkedHashMap<String, Job>()
    val machines = LinkedHashMap<String, Machine>()
    private val usage = HashMap<String, Usage>()
    private val teams = settings.teams.associateBy { it.name }
    private var attemptNumber = 0L

    /** Jobs that have failed and not succeeded. */
    val unprovenJobs = LinkedHashSet<Job>()

    /** Jobs to be cancelled with a predecessor. */
    val cancelledByDependency = LinkedHashSet<Job>()

    /** Set when a job has become ready: its round need not wait for the next one that is due. */
    var roundWanted = false

    /** When this leader's replay ended. */
    var replayedAtMs = 0L

    /** Until when nothing is planned, since a record could not be read. */
    var holdUntilMs = 0L

    /** Set when something waits for workers to see a higher term. */
    var raiseWanted = false

    fun team(name: String) = teams[name]

    /** The token of commands to [m]: the leader's term, or the revision at which the machine became its own if that is higher. */
    fun token(m: Machine): Long = maxOf(term, m.fencing.epoch)

    /** Whether [m] has seen a token that nobody but this leader has given it, so that nobody else has renewed its lease since. */
    fun hasSeenOurToken(m: Machine): Boolean = m.termSeen >= maxOf(firstTerm, m.fencing.epoch)

    fun usage(team: String): Usage = usage.getOrPut(team) { Usage() }

    /**
     * A number for the attempts of one round, never used by an earlier round or leader. It counts as used only when
     * something is planned with it, which costs a write and so a revision: the numbers of a term, which starts at its
     * revision times a constant, can then never reach those of the next.
     */
    fun attemptNumber(): Long = maxOf(attemptNumber + 1, term * LeadershipConstants.ATTEMPTS_PER_TERM)

    fun attemptUsed(number: Long) {
        attemptNumber = number
    }

    /** How many further tasks of [spec] its team's limit allows now. */
    fun allowance(spec: JobSpec): Int {
        val team = teams[spec.team] ?: return 0
        val used = usage(spec.team)
        var most = Int.MAX_VALUE
        if (team.cpusMax > 0 && spec.cpus > 0) most = minOf(most, room(team.cpusMax - used.cpus, spec.cpus))
        if (team.gpusMax > 0 && spec.gpus > 0) most = minOf(most, room(team.gpusMax - used.gpus, spec.gpus))
        return most
    }

    private fun room(
        free: Double,
        each: Double,
    ): Int = maxOf(0, Math.floor((free + 1e-6) / each).toInt())

    /** Tasks that one round may place: a large fleet must not be filled at the pace of a small one. */
    fun roundTasks(): Int {
        val cpus = machines.values.sumOf { if (it.state == MachineState.UP) it.type.cpus else 0.0 }
        return maxOf(PlacementConstants.MIN_ROUND_TASKS, (cpus * PlacementConstants.ROUND_TASKS_PER_CPU).toInt())
    }

    fun occupy(
        job: Job,
        index: Int,
        number: Long,
        machine: Machine,
        incarnation: Long,
    ): Attempt {
        val a = Attempt(job, index, number, machine, incarnation)
        job.put(a)
        machine.occupy(a)
        val used = usage(job.spec.team)
        used.cpus += job.spec.cpus
        used.gpus += job.spec.gpus
        return a
    }

    /** Frees what [a] occupies. Only to be called with proof that it is not, and will not come to be, on its machine. */
    fun release(
        a: Attempt,
        nowMs: Long,
        proof: String,
    ) {
        if (!a.live) return
        a.moveTo(AttemptState.RELEASED, nowMs)
        a.machine.vacate(a)
        a.job.remove(a)
        val used = usage(a.job.spec.team)
        used.cpus = maxOf(0.0, used.cpus - a.job.spec.cpus)
        used.gpus = maxOf(0.0, used.gpus - a.job.spec.gpus)
        // The record still names the old place. Left so, a successor would wait for proof from a machine long gone.
        if (a.job.unwrittenSinceMs == 0L) a.job.unwrittenSinceMs = nowMs
        if (proof != DONE &&
            proof != DESCRIBED_ANEW &&
            proof != NEVER_SENT
        ) {
            log("released ${a.job.spec.id}/${a.index} attempt ${a.number} from ${a.machine.id}: $proof")
        }
    }

    /** Wants [a] gone: at once if it was never sent, else by stop and proof. [quietly]: a line tells of all its job already. */
    fun stop(
        a: Attempt,
        nowMs: Long,
        reason: String,
        quietly: Boolean = false,
    ) {
        if (!a.live || a.state == AttemptState.STOPPING) return
        if (!a.startSent) return release(a, nowMs, if (quietly) NEVER_SENT else "never sent; $reason")
        if (!quietly) log("stopping ${a.job.spec.id}/${a.index} attempt ${a.number} on ${a.machine.id}: $reason")
        a.moveTo(AttemptState.STOPPING, nowMs)
    }

    fun markDone(
        job: Job,
        index: Int,
        nowMs: Long,
    ) {
        if (!job.setDone(index)) return
        if (job.unwrittenSinceMs == 0L) job.unwrittenSinceMs = nowMs
    }

    fun taskId(a: Attempt) = TaskId(a.job.spec.id, a.index)

    companion object {
        const val DONE = "done"
        const val NEVER_SENT = "never sent"
        const val DESCRIBED_ANEW = "described anew"
    }
}
