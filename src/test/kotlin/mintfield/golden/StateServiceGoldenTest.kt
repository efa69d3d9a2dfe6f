package mintfield.golden

import mintfield.Fixtures
import mintfield.app.sharding.ShardingActivation
import mintfield.app.upgrade.VersionRecords
import mintfield.golden.RecordedCalls.CannedResponse
import mintfield.io.loop.EventLoop
import mintfield.io.store.Change
import mintfield.io.store.Entry
import mintfield.io.store.KeyWrite
import mintfield.io.store.Precondition
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult
import mintfield.io.store.TxnOutcome
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Pins the requests to the state store, and how its responses are read. */
class StateServiceGoldenTest {
    private val service = RecordedCalls()
    private val store = StoreClient(service.client, service.client, service.rateLimiter)

    @AfterEach
    fun stop() = service.close()

    private fun response(
        name: String,
        status: Int = 200,
    ) = CannedResponse(status, GoldenFile.text("state/answer-$name.json"))

    private fun assertRequests(name: String) {
        GoldenFile.check("state/asked-$name.txt", service.takeRequests())
    }

    private fun <T> ask(
        given: CannedResponse,
        call: suspend (StoreClient) -> StoreResult<T>,
    ): T = (service.respondingWith(given) { call(store) } as StoreResult.Ok).value

    private fun fields(e: Entry?) = e?.let { listOf(it.key, it.data, it.revision, it.lease) }

    private fun fields(c: Change) = listOf(c.key, c.data, c.revision)

    @Test
    fun `one key is read`() {
        assertEquals(listOf("mf/x", mapOf("a" to 1L), 7L, 9L), fields(ask(response("entry")) { it.get("mf/x") }))
        assertEquals(listOf("mf/y", mapOf("a" to 2L), 8L, null), fields(ask(response("entry-without-lease")) { it.get("mf/y", urgent = true) }))
        assertEquals(null, ask(response("nothing", 404)) { it.get("mf/z") })
        assertRequests("get")
    }

    @Test
    fun `keys are read by pages`() {
        val page = ask(response("page")) { it.list("mf/p/", null, 100) }
        assertEquals(listOf(listOf("mf/p/1", mapOf("a" to 1L), 7L, 9L), listOf("mf/p/2", emptyMap<String, Any?>(), 8L, null)), page.entries.map(::fields))
        assertEquals(true to 11L, page.hasNext to page.revision)
        val last = ask(response("page-last")) { it.list("mf/p/", "mf/p/2", 1) }
        assertEquals(Triple(0, false, 12L), Triple(last.entries.size, last.hasNext, last.revision))
        assertRequests("list")
    }

    @Test
    fun `a transaction is sent with preconditions, puts and deletes, and each outcome is distinguished`() {
        val preconditions = listOf(Precondition("mf/a", 0), Precondition("mf/b", 4_000_000_000))
        val writes = listOf(KeyWrite.Put("mf/a", """{"x":"é"}""".toByteArray()), KeyWrite.Put("mf/l", "{}".toByteArray(), 33), KeyWrite.Delete("mf/b"))
        assertEquals(TxnOutcome.Applied(21), ask(response("applied")) { it.txn(preconditions, writes) })
        assertEquals(TxnOutcome.Failed(listOf("mf/a", "mf/b"), 22), ask(response("failed", 409)) { it.txn(preconditions, emptyList()) })
        assertEquals(TxnOutcome.LeaseNotFound, ask(response("no-lease", 404)) { it.txn(emptyList(), writes.take(1)) })
        assertTrue(ask(response("malformed", 400)) { it.txn(emptyList(), writes.drop(2), urgent = true) } is TxnOutcome.Malformed)
        assertRequests("txn")
    }

    @Test
    fun `a watch returns puts and deletes, or that its revision is compacted`() {
        val changes = ask(response("watch")) { it.watch("mf/j/", 5, 300) }
        assertEquals(listOf(listOf("mf/j/l/a-1", mapOf("a" to 1L), 6L), listOf("mf/j/l/a-2", null, 7L)), changes.log.map(::fields))
        assertEquals(7L to false, changes.revision to changes.tooOld)
        assertEquals(true, ask(response("nothing", 410)) { it.watch("mf/j/", 1, 0) }.tooOld)
        assertRequests("watch")
    }

    @Test
    fun `a lease is granted, renewed and ended`() {
        assertEquals(33L, ask(response("lease")) { it.grantLease(3_500) })
        assertEquals(true, ask(response("nothing")) { it.renewLease(33) })
        assertEquals(false, ask(response("nothing", 404)) { it.renewLease(33) })
        ask(response("nothing")) { it.endLease(33) }
        assertRequests("lease")
    }

    @Test
    fun `a refused request yields its status`() {
        for (status in listOf(429, 503)) assertEquals(StoreResult.Refused(status), service.respondingWith(CannedResponse(status)) { store.get("mf/x") })
        assertRequests("refused")
    }

    @Test
    fun `sharding is marked at the key of the single leader`() {
        val activation = ShardingActivation(store)
        val none = response("page-last")
        assertTrue(service.respondingWith(response("nothing", 404), none, none, response("applied"), none, none) { activation.ensureActivated() })
        assertEquals(21L, activation.precondition?.revision)
        assertRequests("sharing-activation")
        assertTrue(service.respondingWith(response("sharing-mark"), none, none) { ShardingActivation(store).ensureActivated() })
    }

    @Test
    fun `a controller records its generation once`() {
        val versions = VersionRecords(Fixtures.settings, store, EventLoop())
        service.respondingWith(response("nothing", 404), response("applied")) { versions.record() }
        service.respondingWith(response("generation")) { versions.record() }
        assertRequests("generation")
    }
}
