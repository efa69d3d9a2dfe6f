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
 * Publishes this controller's generation in the store and finds out whether all controllers have the generation that something needs. The
 * store is read only while a generation is asked for that some are not known to have. Runs on the event loop.
 */
class VersionRecords(
    private val settings: Settings,
    private val store: StoreClient,
    private val loop: EventLoop,
) {
    private val versions = ControllerVersions(settings.peers.map { it.member })
    private var readAtMs = NEVER

    /** A peer status of the controller [member] names its [generation]. */
    fun announced(
        member: String,
        generation: Int,
    ) = versions.announced(member, generation)

    /** Records the generation of this program in the store, unless it is there already; retries until that has succeeded. */
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

    /** Whether all controllers are known to run [generation] or a later one. May ask the store. */
    suspend fun allHave(generation: Int): Boolean {
        if (versions.peersBelow(generation).isEmpty()) return true
        if (loop.nowMs() - readAtMs >= UserApiConstants.VERSION_RETRY_MS) read()
        val lacking = versions.peersBelow(generation)
        if (lacking.isNotEmpty()) Log.info("not known to run generation $generation: $lacking")
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
        /** Before any time of the event loop, and far enough from the smallest number that differences do not overflow. */
        const val NEVER = Long.MIN_VALUE / 2
    }
}
