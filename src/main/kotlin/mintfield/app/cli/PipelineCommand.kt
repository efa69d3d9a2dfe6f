package mintfield.app.cli

import mintfield.core.model.FinalState
import mintfield.core.model.Settings
import mintfield.io.store.FinalStateCodec
import mintfield.io.store.JobRecordCodec
import mintfield.io.store.Keys
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult
import mintfield.io.worker.JobCodec
import mintfield.io.worker.JobPhaseCodec

/** The command `pipeline`: shows how a job stands and, if it waits for others, how those do. It only reads. */
class PipelineCommand(
    private val settings: Settings,
    private val print: (String) -> Unit,
) {
    /** Runs the command for the job [id]; returns the exit code. */
    fun run(id: String): Int =
        CommandLoop.run(settings) { services ->
            val lines = PipelineReader(services.store).describe(id)
            lines?.forEach(print) ?: print("the state service does not answer")
            if (lines == null) UNAVAILABLE else DONE
        }

    companion object {
        const val DONE = 0
        const val UNAVAILABLE = 3
    }
}

/** Reads what is recorded of a job and of those that it depends on. */
class PipelineReader(
    private val store: StoreClient,
) {
    /** What is recorded of one job. */
    private sealed interface Recorded {
        class Ended(
            val state: FinalState,
        ) : Recorded

        class Unfinished(
            val cancelled: Boolean,
            val predecessors: List<String>,
        ) : Recorded

        data object Unreadable : Recorded

        data object Nothing : Recorded
    }

    private class Visit(
        val id: String,
        val depth: Int,
    )

    /** A line a job, the predecessors indented under it; null if the store does not answer. */
    suspend fun describe(id: String): List<String>? {
        val lines = ArrayList<String>()
        val seen = HashSet<String>()
        val stack = ArrayDeque(listOf(Visit(id, 0)))
        while (stack.isNotEmpty() && lines.size < MOST_LINES) {
            val visit = stack.removeLast()
            val indent = INDENT.repeat(visit.depth)
            if (!seen.add(visit.id)) {
                lines.add("$indent${visit.id} as above")
                continue
            }
            val recorded = read(visit.id) ?: return null
            lines.add("$indent${visit.id} ${describe(recorded)}")
            if (recorded is Recorded.Unfinished) recorded.predecessors.asReversed().forEach { stack.addLast(Visit(it, visit.depth + 1)) }
        }
        if (stack.isNotEmpty()) lines.add("... and more")
        return lines
    }

    private fun describe(recorded: Recorded): String =
        when (recorded) {
            is Recorded.Ended -> JobPhaseCodec.write(recorded.state.phase)
            is Recorded.Unfinished -> {
                val state = if (recorded.cancelled) "withdrawn, its tasks are being stopped" else "unfinished"
                if (recorded.predecessors.isEmpty()) state else "$state, submitted to start after ${recorded.predecessors.size} others:"
            }
            Recorded.Unreadable -> "has a record that cannot be read"
            Recorded.Nothing -> "was never accepted"
        }

    private suspend fun read(id: String): Recorded? {
        if (!JobCodec.isId(id)) return Recorded.Nothing
        val final = store.get(Keys.final(id)) as? StoreResult.Ok ?: return null
        final.value?.let { entry -> return FinalStateCodec.decode(entry.data).valueOrNull?.let { Recorded.Ended(it) } ?: Recorded.Unreadable }
        val live = store.get(Keys.live(id)) as? StoreResult.Ok ?: return null
        val entry = live.value ?: return Recorded.Nothing
        val job = JobRecordCodec.decode(entry.data, entry.revision) { emptyList() }.valueOrNull ?: return Recorded.Unreadable
        return Recorded.Unfinished(job.cancelled, job.spec.predecessors)
    }

    private companion object {
        const val INDENT = "  "

        /** Jobs shown at the most; a line costs one or two requests to the store. */
        const val MOST_LINES = 200
    }
}
