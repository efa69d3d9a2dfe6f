package mintfield.app

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import mintfield.core.Tuning
import mintfield.core.model.AcceptedJob
import mintfield.core.model.FinalState
import mintfield.io.loop.Log
import mintfield.io.store.Changes
import mintfield.io.store.Keys
import mintfield.io.store.Records
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult

/**
 * This node's copy of the unfinished jobs, and a cache of final states. The copy may lag; [current] brings it up to
 * the time of the call, with one request to the store for all who wait.
 */
class JobView(
    private val store: StoreClient,
    private val scope: CoroutineScope,
    private val checkGapMs: Long,
    private val nowMs: () -> Long,
    private val fitsAnew: (AcceptedJob) -> List<String>,
) {
    interface Listener {
        fun changed(job: AcceptedJob)

        fun removed(id: String)
    }

    val live = HashMap<String, AcceptedJob>()

    /** Jobs whose record is there but cannot be read: known, and kept, but nothing can be done for them. */
    val unreadable = HashSet<String>()
    private val finals = FinalStates(Tuning.MAX_CACHED_FINALS)
    var listener: Listener? = null

    /** Told when the view shows all that had happened by a moment, in steady milliseconds. */
    var onComplete: (Long) -> Unit = {}
    var loaded = false
        private set
    private var revision = 0L
    private var waiters = ArrayList<CompletableDeferred<Boolean>>()
    private var checking = false

    fun final(id: String): FinalState? = finals[id]

    fun remember(
        id: String,
        state: FinalState,
    ) {
        finals[id] = state
    }

    /** True once the view shows all that had happened in the store when this was called. */
    suspend fun current(): Boolean {
        val answer = CompletableDeferred<Boolean>()
        waiters.add(answer)
        if (!checking) {
            checking = true
            scope.launch { checkWhileWanted() }
        }
        return withTimeoutOrNull(Tuning.POLL_PATIENCE_MS) { answer.await() } ?: false
    }

    private suspend fun checkWhileWanted() {
        try {
            while (waiters.isNotEmpty()) {
                val batch = waiters
                waiters = ArrayList()
                val ok =
                    try {
                        check()
                    } catch (e: CancellationException) {
                        throw e
                    } catch (e: RuntimeException) {
                        Log.error("check of the jobs failed: ${e.message}")
                        false
                    }
                batch.forEach { it.complete(ok) }
                if (waiters.isNotEmpty()) delay(checkGapMs)
            }
        } finally {
            checking = false
        }
    }

    private suspend fun check(): Boolean {
        if (!loaded) return load()
        val sentAtMs = nowMs()
        return when (val r = store.watch(Keys.JOBS, revision, 0)) {
            is StoreResult.Ok -> apply(r.value, sentAtMs)
            else -> false
        }
    }

    /** Follows changes as they come, until cancelled. */
    suspend fun follow() {
        while (true) {
            if (!loaded && !load()) {
                delay(Tuning.STORE_RETRY_MS)
                continue
            }
            val sentAtMs = nowMs()
            when (val r = store.watch(Keys.JOBS, revision, Tuning.JOBS_WATCH_MS, urgent = true)) {
                is StoreResult.Ok -> apply(r.value, sentAtMs)
                else -> delay(Tuning.STORE_RETRY_MS)
            }
        }
    }

    /** Reads all unfinished jobs; changes after the first page come by the next watch. */
    suspend fun load(): Boolean {
        val sentAtMs = nowMs()
        var after: String? = null
        var first = -1L
        val found = HashMap<String, AcceptedJob>()
        while (true) {
            val page = (store.list(Keys.LIVE, after, Tuning.PAGE) as? StoreResult.Ok)?.value ?: return false
            if (first < 0) first = page.revision
            for (e in page.entries) {
                val job = read(e.key.removePrefix(Keys.LIVE), e.data, e.mark) ?: continue
                found[job.spec.id] = job
            }
            if (!page.hasNext) break
            after = page.entries.lastOrNull()?.key ?: break
        }
        if (loaded && revision >= first) return true.also { onComplete(sentAtMs) }
        val gone = live.keys - found.keys
        live.clear()
        live.putAll(found)
        revision = first
        loaded = true
        unreadable.removeAll(found.keys)
        gone.forEach { listener?.removed(it) }
        found.values.forEach { listener?.changed(it) }
        onComplete(sentAtMs)
        return true
    }

    private suspend fun apply(
        changes: Changes,
        sentAtMs: Long,
    ): Boolean {
        if (changes.tooOld) {
            loaded = false
            return load()
        }
        // Two watches may be under way; what one has brought the other must not bring again, older.
        val known = revision
        for (c in changes.log) {
            if (c.mark <= known) continue
            if (c.key.startsWith(Keys.LIVE)) {
                liveChanged(c.key.removePrefix(Keys.LIVE), c.data, c.mark)
            } else if (c.key.startsWith(Keys.FINAL) && c.data != null) {
                finals[c.key.removePrefix(Keys.FINAL)] = Records.parseFinal(c.data)
            }
        }
        revision = maxOf(revision, changes.revision)
        onComplete(sentAtMs)
        return true
    }

    private fun liveChanged(
        id: String,
        data: Map<String, Any?>?,
        mark: Long,
    ) {
        if (data == null) {
            live.remove(id)
            unreadable.remove(id)
            listener?.removed(id)
            return
        }
        val job = read(id, data, mark) ?: return
        live[id] = job
        listener?.changed(job)
    }

    /** One record that cannot be read must stop neither the others nor the answers about its own job. */
    private fun read(
        id: String,
        data: Map<String, Any?>,
        mark: Long,
    ): AcceptedJob? {
        val job =
            try {
                Records.parseLive(data, mark, fitsAnew)
            } catch (e: RuntimeException) {
                Log.debug("$id: $e")
                null
            }
        if (job != null) {
            unreadable.remove(id)
        } else if (unreadable.add(id)) {
            Log.error("$id: its record of revision $mark cannot be read; it is kept and called pending")
        }
        return job
    }
}
