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
 * Records this controller's generation in the store, once in the life of the cluster, and reads those of the others when
 * something depends on them and not all are known; in the ordinary course nothing more is asked.
 */
class VersionRecords(
    private val settings: Settings,
    private val store: StoreClient,
    private val loop: EventLoop,
) {
    private val versions = ControllerVersions(settings.peers.map { it.member })
    private var readAtMs = Long.MIN_VALUE / 2

    /** A peer's note names its generation. */
    fun announced(
        member: String,
        generation: Int,
    ) = versions.announced(member, generation)

    /** Records the generation of this program, unless that has been done; tries until it has succeeded. */
    suspend fun record() {
        while (!recordOnce()) delay(UserApiConstants.VERSION_RETRY_MS)
    }

    private suspend fun recordOnce(): Boolean {
        val key = Keys.version(settings.member)
        val entry = store.get(key)
        if (entry !is StoreResult.Ok) return false
        if (entry.value?.let { GenerationCodec.decode(it.data).valueOrNull } == Generation.CURRENT.toLong()) return true
        val precondition = Precondition(key, entry.value?.revision ?: 0)
        val result = store.txn(listOf(precondition), listOf(KeyWrite.Put(key, GenerationCodec.encode(Generation.CURRENT))))
        return (result as? StoreResult.Ok)?.value is TxnOutcome.Applied
    }

    /** Whether all controllers run [generation] or a later one. */
    suspend fun allHave(generation: Int): Boolean {
        if (versions.lacking(generation).isEmpty()) return true
        if (loop.nowMs() - readAtMs >= UserApiConstants.VERSION_RETRY_MS) read()
        val lacking = versions.lacking(generation)
        if (lacking.isNotEmpty()) Log.info("not known to run generation $generation: $lacking")
        return lacking.isEmpty()
    }

    private suspend fun read() {
        readAtMs = loop.nowMs()
        val page = (store.list(Keys.VERSIONS, null, StoreConstants.PAGE_ENTRIES) as? StoreResult.Ok)?.value ?: return
        for (entry in page.entries) {
            val generation = GenerationCodec.decode(entry.data).valueOrNull ?: continue
            versions.recorded(entry.key.removePrefix(Keys.VERSIONS), generation.toInt())
        }
    }
}
