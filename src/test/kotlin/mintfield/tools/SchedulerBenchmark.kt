package mintfield.tools

import mintfield.Fixtures
import mintfield.core.CloudCall
import mintfield.core.Commit
import mintfield.core.CommitResult
import mintfield.core.HeartbeatResponse
import mintfield.core.Scheduler
import mintfield.core.Write
import mintfield.core.fleet.ListedMachine
import mintfield.core.fleet.MachineStage
import mintfield.core.jobs.RoundRecord
import mintfield.core.model.AcceptedJob
import mintfield.core.model.Heartbeat
import mintfield.core.model.JobSpec
import mintfield.core.model.MachineType
import mintfield.core.model.TaskStatus
import mintfield.core.ownership.LoadMeter
import mintfield.io.store.RoundCodec
import mintfield.sim.SimWorker
import java.lang.management.ManagementFactory
import java.lang.management.ThreadMXBean

/** CPU time that the current thread spent in one kind of call. */
private class Cost {
    var calls = 0L
        private set
    var nanos = 0L
        private set
    var longestNanos = 0L
        private set

    inline fun <T> measure(action: () -> T): T {
        val startNanos = THREADS.currentThreadCpuTime
        return action().also { add(THREADS.currentThreadCpuTime - startNanos) }
    }

    fun add(spentNanos: Long) {
        calls++
        nanos += spentNanos
        longestNanos = maxOf(longestNanos, spentNanos)
    }

    fun summary(seconds: Double) =
        "%,d calls, %.1f us each, longest %.1f ms, %.3f cores".format(
            calls,
            nanos / 1e3 / maxOf(1, calls),
            longestNanos / 1e6,
            nanos / 1e9 / seconds,
        )

    companion object {
        val THREADS: ThreadMXBean = ManagementFactory.getThreadMXBean()
    }
}

/**
 * Benchmark of the scheduling core alone, in simulated time: the CPU time of heartbeats, rounds and a failover with a fleet of a given
 * size. Run by hand, not a test; see docs/fleet-size.md.
 */
private class SchedulerBenchmark(
    private val machineCount: Int,
    private val jobCount: Int,
    private val runMs: Long,
) {
    private val machineType = MachineType("box", CPUS.toDouble(), 0.0, 4.0 * CPUS, 50.0, 0.1, 0.2, 0.06, 25.0, listOf("north", "south"))
    private val settings = Fixtures.settings.copy(maxSockets = machineCount * 2, teams = Fixtures.settings.teams.map { it.copy(cpusMax = 0.0) })
    private var now = 100_000L
    private var revision = 10L
    private val workers = (0 until machineCount).map(::worker)
    private val byId = workers.associateBy { it.id }
    private val knownTasks = HashMap<String, List<TaskStatus>>()
    private val live = LinkedHashMap<String, AcceptedJob>()
    private val rounds = LinkedHashMap<String, Pair<Long, RoundRecord>>()
    private var permits = 0.0
    private var writes = 0
    private var roundBytes = 0L
    private var starts = 0L
    private val heartbeats = Cost()
    private val commits = Cost()
    private val direct = Cost()
    private val ticks = Cost()
    private val loads = Cost()
    private lateinit var scheduler: Scheduler

    private fun worker(number: Int): SimWorker {
        val zone = if (number % 2 == 0) "north" else "south"
        return SimWorker("m-%06d".format(number), zone, false, now, 10_000, TASK_MS, CPUS) { _, _ -> starts++ }
            .also { it.nextHeartbeatAtMs = now + number * HEARTBEAT_INTERVAL_MS / machineCount }
    }

    fun run() {
        repeat(jobCount) { i ->
            val spec: JobSpec = Fixtures.spec("wk-%06d".format(i), tasks = TASKS_PER_JOB, image = "img-${i % IMAGES}")
            live[spec.id] = Fixtures.accepted(spec, ++revision, now)
        }
        scheduler = startLeader()
        val meter = LoadMeter(scheduler.cluster)
        val until = now + runMs
        while (now < until) step(meter)
        val seconds = runMs / 1000.0
        println("$machineCount machines of $CPUS CPUs, $jobCount jobs of $TASKS_PER_JOB tasks, ${runMs / 1000} s of simulated time")
        println(
            "  starts $starts; writes %.1f/s, %.0f bytes each; round records kept ${rounds.size}".format(writes / seconds, roundBytes * 1.0 / writes),
        )
        println("  heartbeats: ${heartbeats.summary(seconds)}")
        println("  commits: ${commits.summary(seconds)}")
        println("  direct commands: ${direct.summary(seconds)}")
        println("  ticks: ${ticks.summary(seconds)}")
        println("  load of a shard: ${loads.summary(seconds)}")
        measureHeartbeatBurst()
        measureFailover()
    }

    private fun startLeader(): Scheduler {
        val scheduler = Scheduler(settings, ++revision) { }
        scheduler.fleet.machineTypesRead(listOf(machineType), now)
        workers.chunked(PAGE_SIZE).forEach { page ->
            scheduler.fleet.machinesListed(
                page.map { ListedMachine(it.id, "box", it.zone, it.spot, MachineStage.RUNNING, 60.0) },
                page.last() !== workers.last(),
                now,
            )
        }
        live.values.forEach { scheduler.jobChanged(it, now) }
        rounds.entries.sortedBy { it.value.first }.forEach { (key, value) -> scheduler.replay.round(key, value.second, value.first, now) }
        scheduler.replay.complete(now)
        return scheduler
    }

    private fun step(meter: LoadMeter) {
        now += STEP_MS
        permits = minOf(settings.txnOps.toDouble(), permits + settings.stateWriteRps * WRITE_FRACTION * STEP_MS / 1000)
        for (worker in workers) if (now >= worker.nextHeartbeatAtMs) sendHeartbeat(worker)
        commits.measure { scheduler.nextCommit(now, now, permits.toInt()) }?.let(::apply)
        direct.measure { scheduler.directCalls(now, scheduler.cluster.connectionLimits.directCalls) }.forEach { call ->
            val heartbeat = byId.getValue(call.machine).also { it.step(now) }.receiveCommands(call.term, call.incarnation, call.commands)
            scheduler.directCallResponded(call, heartbeat, now)
        }
        if (now % TICK_INTERVAL_MS == 0L) ticks.measure { scheduler.tick(now) }
        if (now % LOAD_INTERVAL_MS == 0L) loads.measure { meter.measure() }
        when (val call = scheduler.cloudCall(now)) {
            is CloudCall.ListPage -> scheduler.fleet.machinesListed(listedAfter(call.after), false, now)
            is CloudCall.Provision -> scheduler.fleet.noCapacity(call.intent, now)
            CloudCall.Types -> scheduler.fleet.machineTypesRead(listOf(machineType), now)
            is CloudCall.Release, null -> {}
        }
    }

    private fun listedAfter(after: String?) =
        workers
            .filter {
                after == null || it.id > after
            }.map { ListedMachine(it.id, "box", it.zone, it.spot, MachineStage.RUNNING, 60.0) }

    private fun sendHeartbeat(worker: SimWorker) {
        worker.step(now)
        val heartbeat = worker.heartbeat()
        // The codec reuses the list object when the tasks are unchanged; so does the benchmark.
        val tasks = knownTasks[worker.id]?.takeIf { it == heartbeat.tasks } ?: heartbeat.tasks.also { knownTasks[worker.id] = it }
        val response = heartbeats.measure { scheduler.heartbeat(heartbeat.withTasks(tasks), true, now) }
        if (response is HeartbeatResponse.Commands) worker.receiveResponse(response.term, response.commands, now, heartbeat.incarnation)
        worker.nextHeartbeatAtMs = now + HEARTBEAT_INTERVAL_MS
    }

    private fun Heartbeat.withTasks(tasks: List<TaskStatus>) =
        Heartbeat(machine, address, type, zone, spot, incarnation, sequence, termSeen, terminationNoticeS, tasks)

    private fun apply(commit: Commit) {
        val at = ++revision
        for (write in commit.writes) {
            writes += if (write is Write.FinishJob) 2 else 1
            when (write) {
                is Write.RecordRound -> {
                    rounds[write.key] = at to write.record
                    roundBytes += RoundCodec.encode(write.record).size
                }
                is Write.DeleteRound -> rounds.remove(write.key)
                is Write.FinishJob -> live.remove(write.job.id)
                else -> {}
            }
        }
        permits -= commit.writes.size
        commits.measure { scheduler.committed(commit, CommitResult.Done(at), now) }
    }

    private fun measureHeartbeatBurst() {
        val burst = Cost()
        now += HEARTBEAT_INTERVAL_MS
        burst.measure {
            for (worker in workers) {
                worker.step(now)
                val heartbeat = worker.heartbeat()
                val response = scheduler.heartbeat(heartbeat, true, now)
                if (response is HeartbeatResponse.Commands) worker.receiveResponse(response.term, response.commands, now, heartbeat.incarnation)
            }
        }
        println("  all heartbeats at once: %.0f ms of CPU time".format(burst.nanos / 1e6))
    }

    private fun measureFailover() {
        val replay = Cost()
        val successor = replay.measure { startLeader() }
        println("  replay of ${live.size} jobs, ${rounds.size} rounds, ${successor.cluster.machines.size} machines: %.0f ms".format(replay.nanos / 1e6))
    }

    private companion object {
        const val CPUS = 16
        const val TASKS_PER_JOB = 16
        const val IMAGES = 12
        const val PAGE_SIZE = 500
        const val STEP_MS = 50L
        const val TICK_INTERVAL_MS = 250L

        /** Interval between two measurements of the load of a shard. */
        const val LOAD_INTERVAL_MS = 1_000L
        const val HEARTBEAT_INTERVAL_MS = 1_000L
        const val TASK_MS = 25_000L
        const val WRITE_FRACTION = 0.8
    }
}

/** Arguments: simulated time in seconds, then fleet sizes, each of which is measured with 10,000 jobs. */
fun main(args: Array<String>) {
    val runMs = (args.firstOrNull() ?: "60").toLong() * 1000
    for (machines in args.drop(1).ifEmpty { listOf("700", "2000", "4000") }) SchedulerBenchmark(machines.toInt(), JOBS, runMs).run()
}

private const val JOBS = 10_000
