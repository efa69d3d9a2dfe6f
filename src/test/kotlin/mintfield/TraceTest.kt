package mintfield

import mintfield.core.CommitResult
import mintfield.core.Hints
import mintfield.core.ReportAnswer
import mintfield.core.Scheduler
import mintfield.core.Write
import mintfield.core.dependencies.DependencyGraph
import mintfield.core.dependencies.DependencyListener
import mintfield.core.fleet.DisownRecord
import mintfield.core.fleet.ListedMachine
import mintfield.core.jobs.KnownJob
import mintfield.core.jobs.RoundRecord
import mintfield.core.model.EndCause
import mintfield.core.model.FinalState
import mintfield.core.model.Order
import mintfield.core.model.Priority
import mintfield.core.model.ReportedState
import mintfield.core.model.ReportedTask
import mintfield.core.model.Shape
import mintfield.core.model.Stage
import mintfield.core.model.TaskId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.File

/**
 * Plays the kept traces: lines with `>` are events, the lines with `<` under them what the core must answer. To renew a
 * trace after a wanted change, run with `-Dtraces.write=true` and read what has changed.
 */
class TraceTest {
    @TestFactory
    fun traces(): List<DynamicTest> =
        File("src/test/resources/traces").listFiles()!!.filter { it.name.endsWith(".trace") }.sorted().map { file ->
            DynamicTest.dynamicTest(file.name.removeSuffix(".trace")) { play(file) }
        }

    private fun play(file: File) {
        val player = Player()
        val out = ArrayList<String>()
        for (line in file.readLines()) {
            if (line.startsWith("< ")) continue
            out.add(line)
            if (line.startsWith("> ")) out.addAll(player.event(line.substring(2)).map { "< $it" })
        }
        val text = out.joinToString("\n", postfix = "\n")
        if (System.getProperty("traces.write") == "true") file.writeText(text)
        assertEquals(file.readText(), text)
    }

    private class Player {
        private var now = 1_000L
        private var graph = DependencyGraph(::known)
        private var scheduler = fresh(1)
        private var mark = 1L
        private val rounds = LinkedHashMap<String, Pair<Long, RoundRecord>>()
        private val disowned = LinkedHashMap<String, DisownRecord>()
        private val jobs = LinkedHashMap<String, mintfield.core.model.AcceptedJob>()
        private val finals = HashMap<String, FinalState>()
        private val logged = ArrayList<String>()
        private var calls = emptyList<mintfield.core.DirectCall>()

        private fun fresh(term: Long): Scheduler {
            val fresh = Scheduler(Fixtures.settings, term, dependencies = graph) { logged.add(it) }
            fresh.types(listOf(Fixtures.box), 0)
            graph.listener =
                object : DependencyListener {
                    override fun becameReady(id: String) = fresh.becameReady(id, now)

                    override fun becameDoomed(id: String) = fresh.becameDoomed(id)
                }
            return fresh
        }

        private fun known(id: String): KnownJob? = finals[id]?.let { KnownJob.Ended(it) } ?: jobs[id]?.let { KnownJob.Live(it) }

        fun event(text: String): List<String> {
            val words = text.split(' ')
            logged.clear()
            val shown =
                when (words[0]) {
                    "at" -> emptyList<String>().also { now = words[1].toLong() }
                    "ready" -> emptyList<String>().also { scheduler.replayDone(now) }
                    "recall" -> recall(words[1], words[2])
                    "job" -> job(words)
                    "abort" -> abort(words[1])
                    "told" -> emptyList<String>().also { scheduler.withdrawnElsewhere(words[1], now) }
                    "list" -> list(words.drop(1))
                    "report" -> report(words)
                    "commit" -> commit(words.getOrElse(1) { "done" })
                    "direct" -> direct(words)
                    "tick" -> emptyList<String>().also { scheduler.tick(now) }
                    "cloud" -> cloud(words.getOrElse(1) { "done" })
                    "successor" -> successor(words[1].toLong())
                    else -> error("what is '$text'?")
                }
            return shown + logged.map { "log: $it" }
        }

        private fun recall(
            machine: String,
            image: String,
        ): List<String> {
            scheduler.recall(Hints(mapOf(image to 1.0), mapOf(machine to listOf(image)), emptyMap()))
            return emptyList()
        }

        private fun option(
            words: List<String>,
            name: String,
        ) = words.firstOrNull { it.startsWith("$name=") }?.substringAfter('=')

        private fun job(words: List<String>): List<String> {
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
                    ).copy(predecessors = option(words, "awaits")?.split(",").orEmpty())
            jobs[spec.id] = Fixtures.accepted(spec, ++mark)
            graph.written(jobs.getValue(spec.id))
            scheduler.jobChanged(jobs.getValue(spec.id), now)
            return emptyList()
        }

        private fun abort(id: String): List<String> {
            jobs[id] = jobs.getValue(id).copy(withdrawn = true, mark = ++mark)
            graph.written(jobs.getValue(id))
            scheduler.jobChanged(jobs.getValue(id), now)
            return emptyList()
        }

        private fun list(ids: List<String>): List<String> {
            val page = ids.map { ListedMachine(it.substringBefore(':'), "box", it.substringAfter(':', "north"), false, "running", 500.0) }
            scheduler.listed(page, false, now)
            return emptyList()
        }

        /** `report m-1 tally=3 term=1 wk-1/0@65537:running` */
        private fun report(words: List<String>): List<String> {
            val r =
                Fixtures.report(
                    words[1],
                    option(words, "tally")!!.toLong(),
                    option(words, "term")!!.toLong(),
                    *tasks(words).toTypedArray(),
                    season = option(words, "season")?.toLong() ?: 1,
                    zone = option(words, "zone") ?: "north",
                    notice = option(words, "notice")?.toDouble(),
                )
            val known = option(words, "known")?.toLong() ?: now
            return when (val a = scheduler.report(r, mayAct = "lapsed" !in words, nowMs = now, cancellationsToMs = known)) {
                ReportAnswer.Deposed -> listOf("deposed")
                ReportAnswer.NotNow -> listOf("not now")
                ReportAnswer.Unrenewed, ReportAnswer.OwnedByAnother -> listOf("not renewed")
                is ReportAnswer.Orders -> listOf("term ${a.term}${a.orders.joinToString("") { " " + show(it) }}")
            }
        }

        private fun tasks(words: List<String>) =
            words.filter { '@' in it }.map { w ->
                val state = w.substringAfter(':')
                val cause = EndCause.entries.firstOrNull { it.name.equals(state, ignoreCase = true) }
                val kind = if (cause != null) ReportedState.ENDED else ReportedState.valueOf(state.uppercase())
                ReportedTask(TaskId.parse(w.substringBefore('@'))!!, w.substringAfter('@').substringBefore(':').toLong(), kind, cause)
            }

        private fun show(o: Order) =
            when (o) {
                is Order.Run -> "run ${o.task}@${o.attempt}"
                is Order.Halt -> "halt ${o.task}@${o.attempt}"
                is Order.Clear -> "clear ${o.task}@${o.attempt}"
            }

        private fun commit(fate: String): List<String> {
            val c = scheduler.nextCommit(now, now, 16) ?: return listOf("nothing to write")
            val shown = c.writes.filter { it !is Write.Remember }.map(::show)
            val result =
                when (fate) {
                    "done" -> CommitResult.Done(++mark)
                    "unknown" -> CommitResult.Unknown
                    "refused" -> CommitResult.Refused
                    else -> CommitResult.Conflict(setOf(fate))
                }
            if (fate == "done") {
                c.writes.forEach { w ->
                    if (w is Write.RecordRound) rounds[w.key] = mark to w.record
                    if (w is Write.SweepRound) rounds.remove(w.key)
                    if (w is Write.Disown) disowned[w.record.key] = w.record
                    if (w is Write.Own) disowned.remove(w.key)
                }
            }
            scheduler.committed(c, result, now)
            if (fate == "done") c.writes.forEach(::ended)
            return shown
        }

        private fun ended(write: Write) {
            val stage = if (write is Write.CancelSuccessor) Stage.WITHDRAWN else Stage.DONE
            if (write !is Write.Finish && write !is Write.CancelSuccessor) return
            val id = write.guarded.single().id
            jobs.remove(id)
            finals[id] = FinalState(stage, 0, now)
            graph.ended(id, finals.getValue(id))
            graph.removed(id)
        }

        private fun show(w: Write): String =
            when (w) {
                is Write.RecordRound ->
                    "round ${w.key}: " +
                        w.record.parts.joinToString("; ") { p ->
                            val plans = p.plans.joinToString("") { " ${it.machine}@${it.attempt} ${it.indices}" }
                            val done = if (p.done.isEmpty()) "" else " done ${p.done}"
                            val freed = if (p.freed.isEmpty()) "" else " free ${p.freed}"
                            "${p.job}$plans$done$freed"
                        }
                is Write.SweepRound -> "sweep round ${w.key}"
                is Write.Finish -> "finish ${w.job.spec.id}"
                is Write.CancelSuccessor -> "cancel successor ${w.job.id}"
                is Write.Sweep -> "sweep ${w.job.spec.id}"
                is Write.Intend -> "intend ${w.intent.number} ${w.intent.type} in ${w.intent.zone} spot=${w.intent.spot} as ${w.intent.plea}"
                is Write.DropIntent -> "drop intent ${w.plea}"
                is Write.Remember -> "remember"
                is Write.Disown -> "disown ${w.record.machines} since ${w.record.sinceWallMs}"
                is Write.Own -> "own ${w.key} again"
                Write.RaiseTerm -> "raise term"
            }

        private fun direct(words: List<String>): List<String> {
            val fate = words[1]
            if (fate == "answered") {
                val tally = option(words, "tally")!!.toLong()
                val season = option(words, "season")?.toLong()
                calls.forEach {
                    val r = Fixtures.report(it.machine, tally, it.term, *tasks(words).toTypedArray(), season = season ?: it.season)
                    scheduler.directAnswered(it, r, now)
                }
                return emptyList()
            }
            if (fate == "call") {
                calls = scheduler.directCalls(now, 10)
                return calls.map { c ->
                    "to ${c.machine} term ${c.term} season ${c.season}: ${c.orders.joinToString(" ") { show(it) }.ifEmpty { "nothing, to see if it hears" }}"
                }
            }
            calls.forEach { scheduler.directUnanswered(it, sent = fate == "lost", now) }
            return emptyList()
        }

        private fun cloud(fate: String): List<String> {
            val call = scheduler.cloudCall(now) ?: return listOf("nothing to ask")
            when (call) {
                is mintfield.core.CloudCall.Return -> if (fate == "done") scheduler.fleet.returned(call.machines, now) else scheduler.fleet.failed(call, now)
                is mintfield.core.CloudCall.Rent ->
                    if (fate ==
                        "none"
                    ) {
                        scheduler.fleet.noCapacity(call.intent, now)
                    } else {
                        scheduler.fleet.rented(call.intent, listOf(fate), now)
                    }
                else -> scheduler.fleet.listed(emptyList(), false, now)
            }
            return listOf(call.toString().replace(Regex("RentIntent"), ""))
        }

        /** A new leader from what was written. */
        private fun successor(term: Long): List<String> {
            graph = DependencyGraph(::known)
            jobs.values.forEach(graph::written)
            scheduler = fresh(term)
            disowned.values.forEach { scheduler.disowning.replay(it) }
            jobs.values.forEach { scheduler.jobChanged(it, now) }
            rounds.forEach { (k, v) -> scheduler.replayRound(k, v.second, v.first, now) }
            return emptyList()
        }
    }
}
