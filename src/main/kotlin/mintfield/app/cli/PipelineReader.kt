package mintfield.app.cli

import mintfield.core.model.FinalState
import mintfield.io.store.Entry
import mintfield.io.store.FinalStateCodec
import mintfield.io.store.JobRecordCodec
import mintfield.io.store.Keys
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult
import mintfield.io.worker.JobCodec
import mintfield.io.worker.JobPhaseCodec

/** Reads the records of a job and of its predecessors, direct and indirect, from the store and describes them for operators. */
class PipelineReader(
    private val store: StoreClient,
) {
    /** The state of one job as recorded in the store. */
    private sealed interface Recorded {
        class Ended(
            val state: FinalState,
        ) : Recorded

        class Unfinished(
            val cancelled: Boolean,
            val predecessors: List<String>,
        ) : Recorded

        data object Unreadable : Recorded

        data object NotFound : Recorded
    }

    /** A job to describe, [depth] dependencies away from the requested job. */
    private class Visit(
        val id: String,
        val depth: Int,
    )

    /** Returns a line for the job [id] and each of its predecessors, which are indented; null if the store does not respond. */
    suspend fun describe(id: String): List<String>? {
        val lines = ArrayList<String>()
        val seen = HashSet<String>()
        val stack = ArrayDeque(listOf(Visit(id, depth = 0)))
        while (stack.isNotEmpty() && lines.size < MAX_LINES) {
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
            Recorded.NotFound -> "was never accepted"
        }

    /** The recorded state of the job [id]; null if the store does not respond. */
    private suspend fun read(id: String): Recorded? {
        if (!JobCodec.isId(id)) return Recorded.NotFound
        val final = store.get(Keys.final(id)) as? StoreResult.Ok ?: return null
        val entry = final.value
        return if (entry == null) readUnfinished(id) else ended(entry)
    }

    private suspend fun readUnfinished(id: String): Recorded? {
        val live = store.get(Keys.live(id)) as? StoreResult.Ok ?: return null
        return live.value?.let(::unfinished) ?: Recorded.NotFound
    }

    private fun ended(entry: Entry): Recorded = FinalStateCodec.decode(entry.data).valueOrNull?.let { Recorded.Ended(it) } ?: Recorded.Unreadable

    private fun unfinished(entry: Entry): Recorded {
        val job = JobRecordCodec.decode(entry.data, entry.revision) { emptyList() }.valueOrNull ?: return Recorded.Unreadable
        return Recorded.Unfinished(job.cancelled, job.spec.predecessors)
    }

    private companion object {
        const val INDENT = "  "

        /** Maximum number of jobs shown, since each line costs one or two requests to the store. */
        const val MAX_LINES = 200
    }
}
