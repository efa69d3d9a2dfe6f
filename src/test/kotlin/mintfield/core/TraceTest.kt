package mintfield.core

import mintfield.Fixtures
import mintfield.core.dependencies.DependencyGraph
import mintfield.core.dependencies.DependencyListener
import mintfield.core.fleet.ListedMachine
import mintfield.core.fleet.MachineStage
import mintfield.core.fleet.ZoneFence
import mintfield.core.jobs.KnownJob
import mintfield.core.jobs.RoundRecord
import mintfield.core.model.ExitReason
import mintfield.core.model.FinalState
import mintfield.core.model.JobPhase
import mintfield.core.model.Priority
import mintfield.core.model.Shape
import mintfield.core.model.TaskId
import mintfield.core.model.TaskState
import mintfield.core.model.TaskStatus
import mintfield.core.model.WorkerCommand
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.File

/**
 * Replays the traces in `src/test/resources/traces` against the scheduler. A line with `>` is an event, and the lines with `<`
 * below it are the expected output and log lines. After an intended change of behaviour, run with `-Dtraces.write=true` to
 * rewrite the traces, and review the difference.
 */
class TraceTest {
    @TestFactory
    fun traces(): List<DynamicTest> =
        File("src/test/resources/traces").listFiles()!!.filter { it.name.endsWith(".trace") }.sorted().map { file ->
            DynamicTest.dynamicTest(file.name.removeSuffix(".trace")) { replay(file) }
        }

    private fun replay(file: File) {
        val simulation = Simulation()
        val out = ArrayList<String>()
        for (line in file.readLines()) {
            if (line.startsWith("< ")) continue
            out.add(line)
            if (line.startsWith("> ")) out.addAll(simulation.handle(line.substring(2)).map { "< $it" })
        }
        val text = out.joinToString("\n", postfix = "\n")
        if (System.getProperty("traces.write") == "true") file.writeText(text)
        assertEquals(file.readText(), text)
    }

    private class Simulation {
        private var now = 1_000L
        private var graph = DependencyGraph(::known)
        private var scheduler = newScheduler(1)
        private var revision = 1L
        private val rounds = LinkedHashMap<String, Pair<Long, RoundRecord>>()
        private val zoneFences = LinkedHashMap<String, ZoneFence>()
        private val jobs = LinkedHashMap<String, mintfield.core.model.AcceptedJob>()
        private val finals = HashMap<String, FinalState>()
        private val logged = ArrayList<String>()
        private var calls = emptyList<mintfield.core.DirectCall>()

        private fun newScheduler(term: Long): Scheduler {
            val scheduler = Scheduler(Fixtures.settings, term, dependencies = graph) { logged.add(it) }
            scheduler.fleet.machineTypesRead(listOf(Fixtures.box), 0)
            graph.listener =
                object : DependencyListener {
                    override fun becameReady(id: String) = scheduler.becameReady(id, now)

                    override fun dependencyCancelled(id: String) = scheduler.dependencyCancelled(id)
                }
            return scheduler
        }

        private fun known(id: String): KnownJob? = finals[id]?.let { KnownJob.Ended(it) } ?: jobs[id]?.let { KnownJob.Live(it) }

        fun handle(text: String): List<String> {
            val words = text.split(' ')
            logged.clear()
            val shown =
                when (words[0]) {
                    "at" -> emptyList<String>().also { now = words[1].toLong() }
                    "replay-complete" -> emptyList<String>().also { scheduler.replay.complete(now) }
                    "restore-images" -> restoreImages(words[1], words[2])
                    "submit" -> submit(words)
                    "cancel" -> cancel(words[1])
                    "cancelled-through-peer" -> emptyList<String>().also { scheduler.cancellationConfirmed(words[1], now) }
                    "machine-list" -> machineList(words.drop(1))
                    "heartbeat" -> heartbeat(words)
                    "commit" -> commit(words.getOrElse(1) { "done" })
                    "direct-calls" -> directCalls(words)
                    "tick" -> emptyList<String>().also { scheduler.tick(now) }
                    "cloud-call" -> cloudCall(words.getOrElse(1) { "done" })
                    "new-leader" -> newLeader(words[1].toLong())
                    else -> error("unknown event: '$text'")
                }
            return shown + logged.map { "log: $it" }
        }

        private fun restoreImages(
            machine: String,
            image: String,
        ): List<String> {
            scheduler.replay.restore(LearnedState(mapOf(image to 1.0), mapOf(machine to listOf(image)), emptyMap()))
            return emptyList()
        }

        private fun option(
            words: List<String>,
            name: String,
        ) = words.firstOrNull { it.startsWith("$name=") }?.substringAfter('=')

        private fun submit(words: List<String>): List<String> {
            val spec =
                Fixtures
                    .spec(
                        words[1],
                        tasks = option(words, "tasks")?.toInt() ?: 1,
                        shape =
                            if ("service" in words) {
                                Shape.SERVICE
                            } else if ("gang" in words) {
                                Shape.GANG
                            } else {
                                Shape.ARRAY
                            },
                        priority = if ("high" in words) Priority.HIGH else Priority.NORMAL,
                        team = option(words, "team") ?: "floor",
                        spot = "spot" in words,
                        image = option(words, "image") ?: "img-1",
                        spread = "spread" in words,
                        zone = option(words, "zone"),
                    ).copy(predecessors = option(words, "predecessors")?.split(",").orEmpty())
            jobs[spec.id] = Fixtures.accepted(spec, ++revision)
            graph.onRecordWritten(jobs.getValue(spec.id))
            scheduler.jobChanged(jobs.getValue(spec.id), now)
            return emptyList()
        }

        private fun cancel(id: String): List<String> {
            jobs[id] = jobs.getValue(id).copy(cancelled = true, revision = ++revision)
            graph.onRecordWritten(jobs.getValue(id))
            scheduler.jobChanged(jobs.getValue(id), now)
            return emptyList()
        }

        private fun machineList(ids: List<String>): List<String> {
            val page = ids.map { ListedMachine(it.substringBefore(':'), "box", it.substringAfter(':', "north"), false, MachineStage.RUNNING, 500.0) }
            scheduler.fleet.machinesListed(page, false, now)
            return emptyList()
        }

        /** For example `heartbeat m-1 sequence=3 term=1 wk-1/0@65537:running` */
        private fun heartbeat(words: List<String>): List<String> {
            val heartbeat =
                Fixtures.heartbeat(
                    words[1],
                    option(words, "sequence")!!.toLong(),
                    option(words, "term")!!.toLong(),
                    *tasks(words).toTypedArray(),
                    incarnation = option(words, "incarnation")?.toLong() ?: 1,
                    zone = option(words, "zone") ?: "north",
                    notice = option(words, "notice")?.toDouble(),
                )
            val cancellationsToMs = option(words, "cancellations-to")?.toLong() ?: now
            return when (val response = scheduler.heartbeat(heartbeat, mayAct = "lease-lapsed" !in words, nowMs = now, cancellationsToMs = cancellationsToMs)) {
                HeartbeatResponse.Deposed -> listOf("deposed")
                HeartbeatResponse.ZoneFenced -> listOf("zone fenced")
                HeartbeatResponse.RenewalRefused, HeartbeatResponse.NotOwner -> listOf("lease not renewed")
                is HeartbeatResponse.Commands -> listOf("term ${response.term}${response.commands.joinToString("") { " " + show(it) }}")
            }
        }

        private fun tasks(words: List<String>) =
            words.filter { '@' in it }.map { w ->
                val state = w.substringAfter(':')
                val cause = ExitReason.entries.firstOrNull { it.name.equals(state, ignoreCase = true) }
                val kind = if (cause != null) TaskState.ENDED else TaskState.valueOf(state.uppercase())
                TaskStatus(TaskId.parse(w.substringBefore('@'))!!, w.substringAfter('@').substringBefore(':').toLong(), kind, cause)
            }

        private fun show(command: WorkerCommand) =
            when (command) {
                is WorkerCommand.Start -> "start ${command.task}@${command.attempt}"
                is WorkerCommand.Stop -> "stop ${command.task}@${command.attempt}"
                is WorkerCommand.Acknowledge -> "acknowledge ${command.task}@${command.attempt}"
            }

        private fun commit(outcome: String): List<String> {
            val c = scheduler.nextCommit(now, now, 16) ?: return listOf("nothing to write")
            val shown = c.writes.filter { it !is Write.SaveLearnedState }.map(::show)
            val result =
                when (outcome) {
                    "done" -> CommitResult.Done(++revision)
                    "unknown" -> CommitResult.Unknown
                    "refused" -> CommitResult.Refused
                    else -> CommitResult.Conflict(setOf(outcome))
                }
            if (outcome == "done") {
                c.writes.forEach { w ->
                    if (w is Write.RecordRound) rounds[w.key] = revision to w.record
                    if (w is Write.DeleteRound) rounds.remove(w.key)
                    if (w is Write.FenceZone) zoneFences[w.record.key] = w.record
                    if (w is Write.LiftZoneFence) zoneFences.remove(w.key)
                }
            }
            scheduler.committed(c, result, now)
            if (outcome == "done") c.writes.forEach(::recordEnded)
            return shown
        }

        private fun recordEnded(write: Write) {
            val phase = if (write is Write.CancelSuccessor) JobPhase.CANCELLED else JobPhase.DONE
            if (write !is Write.FinishJob && write !is Write.CancelSuccessor) return
            val id = write.guardedJobs.single().id
            jobs.remove(id)
            finals[id] = FinalState(phase, 0, now)
            graph.onJobEnded(id, finals.getValue(id))
            graph.onRecordRemoved(id)
        }

        private fun show(w: Write): String =
            when (w) {
                is Write.RecordRound ->
                    "round ${w.key}: " +
                        w.record.parts.joinToString("; ") { p ->
                            val plans = p.plans.joinToString("") { " ${it.machine}@${it.attempt} ${it.indices}" }
                            val done = if (p.done.isEmpty()) "" else " done ${p.done}"
                            val released = if (p.released.isEmpty()) "" else " released ${p.released}"
                            "${p.job}$plans$done$released"
                        }
                is Write.DeleteRound -> "delete round ${w.key}"
                is Write.FinishJob -> "finish ${w.job.spec.id}"
                is Write.CancelSuccessor -> "cancel successor ${w.job.id}"
                is Write.DeleteJobRecord -> "delete record of ${w.job.spec.id}"
                is Write.WriteIntent -> w.intent.run { "write intent for $number $type in $zone spot=$spot as $idempotencyKey" }
                is Write.DeleteIntent -> "delete intent ${w.idempotencyKey}"
                is Write.SaveLearnedState -> "save learned state"
                is Write.FenceZone -> "write zone fence for ${w.record.machines} since ${w.record.sinceWallMs}"
                is Write.LiftZoneFence -> "lift zone fence ${w.key}"
                Write.RaiseTerm -> "raise term"
            }

        private fun directCalls(words: List<String>): List<String> {
            val action = words[1]
            if (action == "answered") {
                val sequence = option(words, "sequence")!!.toLong()
                val incarnation = option(words, "incarnation")?.toLong()
                calls.forEach {
                    val r = Fixtures.heartbeat(it.machine, sequence, it.term, *tasks(words).toTypedArray(), incarnation = incarnation ?: it.incarnation)
                    scheduler.directCallResponded(it, r, now)
                }
                return emptyList()
            }
            if (action == "send") {
                calls = scheduler.directCalls(now, 10)
                return calls.map { c ->
                    "to ${c.machine} term ${c.term} incarnation ${c.incarnation}: ${c.commands.joinToString(
                        " ",
                    ) { show(it) }.ifEmpty { "no commands, reachability probe" }}"
                }
            }
            calls.forEach { scheduler.directCallUnanswered(it, sent = action == "lost", now) }
            return emptyList()
        }

        private fun cloudCall(result: String): List<String> {
            val call = scheduler.cloudCall(now) ?: return listOf("no call due")
            when (call) {
                is mintfield.core.CloudCall.Release -> if (result == "done") scheduler.fleet.released(call.machines, now) else scheduler.fleet.failed(call, now)
                is mintfield.core.CloudCall.Provision ->
                    if (result ==
                        "none"
                    ) {
                        scheduler.fleet.noCapacity(call.intent, now)
                    } else {
                        scheduler.fleet.provisioned(call.intent, listOf(result), now)
                    }
                else -> scheduler.fleet.machinesListed(emptyList(), false, now)
            }
            return listOf(call.toString().replace(Regex("ScaleOutIntent"), ""))
        }

        /** Replaces the scheduler by that of a new leader, which knows only the committed records. */
        private fun newLeader(term: Long): List<String> {
            graph = DependencyGraph(::known)
            jobs.values.forEach(graph::onRecordWritten)
            scheduler = newScheduler(term)
            zoneFences.values.forEach { scheduler.zoneFencing.replay(it) }
            jobs.values.forEach { scheduler.jobChanged(it, now) }
            rounds.forEach { (k, v) -> scheduler.replay.round(k, v.second, v.first, now) }
            return emptyList()
        }
    }
}
