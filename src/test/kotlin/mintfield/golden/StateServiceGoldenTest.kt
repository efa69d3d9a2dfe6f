package mintfield.golden

import mintfield.Fixtures
import mintfield.app.sharding.ShardingActivation
import mintfield.app.upgrade.VersionRecords
import mintfield.golden.RecordedCalls.Answer
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

/** What the store is asked, and how its answers are understood. */
class StateServiceGoldenTest {
    private val service = RecordedCalls()
    private val store = StoreClient(service.client, service.client, service.rateLimiter)

    @AfterEach
    fun stop() = service.close()

    private fun answer(
        name: String,
        status: Int = 200,
    ) = Answer(status, GoldenFile.text("state/answer-$name.json"))

    private fun assertAsked(name: String) {
        GoldenFile.check("state/asked-$name.txt", service.takeRequests())
    }

    private fun <T> ask(
        given: Answer,
        call: suspend (StoreClient) -> StoreResult<T>,
    ): T = (service.during(given) { call(store) } as StoreResult.Ok).value

    private fun fields(e: Entry?) = e?.let { listOf(it.key, it.data, it.revision, it.lease) }

    private fun fields(c: Change) = listOf(c.key, c.data, c.revision)

    @Test
    fun `one key is read`() {
        assertEquals(listOf("mf/x", mapOf("a" to 1L), 7L, 9L), fields(ask(answer("entry")) { it.get("mf/x") }))
        assertEquals(listOf("mf/y", mapOf("a" to 2L), 8L, null), fields(ask(answer("entry-without-lease")) { it.get("mf/y", urgent = true) }))
        assertEquals(null, ask(answer("nothing", 404)) { it.get("mf/z") })
        assertAsked("get")
    }

    @Test
    fun `keys are read by pages`() {
        val page = ask(answer("page")) { it.list("mf/p/", null, 100) }
        assertEquals(listOf(listOf("mf/p/1", mapOf("a" to 1L), 7L, 9L), listOf("mf/p/2", emptyMap<String, Any?>(), 8L, null)), page.entries.map(::fields))
        assertEquals(true to 11L, page.hasNext to page.revision)
        val last = ask(answer("page-last")) { it.list("mf/p/", "mf/p/2", 1) }
        assertEquals(Triple(0, false, 12L), Triple(last.entries.size, last.hasNext, last.revision))
        assertAsked("list")
    }

    @Test
    fun `a transaction is sent with preconditions, puts and deletes, and each outcome is distinguished`() {
        val preconditions = listOf(Precondition("mf/a", 0), Precondition("mf/b", 4_000_000_000))
        val writes = listOf(KeyWrite.Put("mf/a", """{"x":"é"}""".toByteArray()), KeyWrite.Put("mf/l", "{}".toByteArray(), 33), KeyWrite.Delete("mf/b"))
        assertEquals(TxnOutcome.Applied(21), ask(answer("applied")) { it.txn(preconditions, writes) })
        assertEquals(TxnOutcome.Failed(listOf("mf/a", "mf/b"), 22), ask(answer("failed", 409)) { it.txn(preconditions, emptyList()) })
        assertEquals(TxnOutcome.LeaseNotFound, ask(answer("no-lease", 404)) { it.txn(emptyList(), writes.take(1)) })
        assertTrue(ask(answer("malformed", 400)) { it.txn(emptyList(), writes.drop(2), urgent = true) } is TxnOutcome.Malformed)
        assertAsked("txn")
    }

    @Test
    fun `a watch returns puts and deletes, or that its revision is compacted`() {
        val changes = ask(answer("watch")) { it.watch("mf/j/", 5, 300) }
        assertEquals(listOf(listOf("mf/j/l/a-1", mapOf("a" to 1L), 6L), listOf("mf/j/l/a-2", null, 7L)), changes.log.map(::fields))
        assertEquals(7L to false, changes.revision to changes.tooOld)
        assertEquals(true, ask(answer("nothing", 410)) { it.watch("mf/j/", 1, 0) }.tooOld)
        assertAsked("watch")
    }

    @Test
    fun `a lease is granted, renewed and ended`() {
        assertEquals(33L, ask(answer("lease")) { it.grantLease(3_500) })
        assertEquals(true, ask(answer("nothing")) { it.renewLease(33) })
        assertEquals(false, ask(answer("nothing", 404)) { it.renewLease(33) })
        ask(answer("nothing")) { it.endLease(33) }
        assertAsked("lease")
    }

    @Test
    fun `a refused request yields its status`() {
        for (status in listOf(429, 503)) assertEquals(StoreResult.Refused(status), service.during(Answer(status)) { store.get("mf/x") })
        assertAsked("refused")
    }

    @Test
    fun `sharding is marked at the key of the single leader`() {
        val activation = ShardingActivation(store)
        val none = answer("page-last")
        assertTrue(service.during(answer("nothing", 404), none, none, answer("applied"), none, none) { activation.ensureActivated() })
        assertEquals(21L, activation.precondition?.revision)
        assertAsked("sharing-activation")
        assertTrue(service.during(answer("sharing-mark"), none, none) { ShardingActivation(store).ensureActivated() })
    }

    @Test
    fun `a controller records its generation once`() {
        val versions = VersionRecords(Fixtures.settings, store, EventLoop())
        service.during(answer("nothing", 404), answer("applied")) { versions.record() }
        service.during(answer("generation")) { versions.record() }
        assertAsked("generation")
    }
}
