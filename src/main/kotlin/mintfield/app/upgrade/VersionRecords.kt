package mintfield.app.upgrade

import kotlinx.coroutines.delay
import mintfield.core.constants.StoreConstants
import mintfield.core.constants.UserApiConstants
import mintfield.core.model.Settings
import mintfield.core.upgrade.ControllerVersions
import mintfield.core.upgrade.Generation
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import mintfield.io.store.GenerationCodec
import mintfield.io.store.KeyWrite
import mintfield.io.store.Keys
import mintfield.io.store.Precondition
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult
import mintfield.io.store.TxnOutcome

/**
 * Records this controller's generation in the store and determines whether all controllers run a generation that a feature requires. The
 * store is read only while some controller is not known to run the generation in question. Must be used on the event loop only.
 */
class VersionRecords(
    private val settings: Settings,
    private val store: StoreClient,
    private val loop: EventLoop,
) {
    private val versions = ControllerVersions(settings.peers.map { it.member })
    private var readAtMs = NEVER

    /** Handles the [generation] in a status message of [controller]. */
    fun announced(
        controller: String,
        generation: Int,
    ) = versions.announced(controller, generation)

    /** Records the generation of this program in the store unless it is recorded already, and retries until it has succeeded. */
    suspend fun record() {
        while (!tryRecord()) delay(UserApiConstants.VERSION_RETRY_MS)
    }

    private suspend fun tryRecord(): Boolean {
        val key = Keys.generation(settings.member)
        val entry = (store.get(key) as? StoreResult.Ok ?: return false).value
        val recorded = entry?.let { GenerationCodec.decode(it.data).valueOrNull }
        if (recorded == Generation.CURRENT.toLong()) return true
        val precondition = Precondition(key, entry?.revision ?: 0)
        val result = store.txn(listOf(precondition), listOf(KeyWrite.Put(key, GenerationCodec.encode(Generation.CURRENT))))
        return (result as? StoreResult.Ok)?.value is TxnOutcome.Applied
    }

    /** Whether all controllers are known to run [generation] or a later one. Reads the store if not, at most every [UserApiConstants.VERSION_RETRY_MS]. */
    suspend fun allRun(generation: Int): Boolean {
        if (versions.peersBelow(generation).isEmpty()) return true
        if (loop.nowMs() - readAtMs >= UserApiConstants.VERSION_RETRY_MS) read()
        val lacking = versions.peersBelow(generation)
        if (lacking.isNotEmpty()) Log.info("upgrade: generation $generation not confirmed by controllers $lacking")
        return lacking.isEmpty()
    }

    private suspend fun read() {
        readAtMs = loop.nowMs()
        val page = (store.list(Keys.GENERATIONS, null, StoreConstants.PAGE_ENTRIES) as? StoreResult.Ok)?.value ?: return
        for (entry in page.entries) {
            val generation = GenerationCodec.decode(entry.data).valueOrNull ?: continue
            versions.recorded(entry.key.removePrefix(Keys.GENERATIONS), generation.toInt())
        }
    }

    private companion object {
        /** A time before any time of the event loop. Half of the minimum value, so that differences do not overflow. */
        const val NEVER = Long.MIN_VALUE / 2
    }
}
