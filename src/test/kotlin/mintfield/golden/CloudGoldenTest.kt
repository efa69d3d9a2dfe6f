package mintfield.golden

import mintfield.core.ScaleOutIntent
import mintfield.core.fleet.ListedMachine
import mintfield.core.fleet.MachineStage
import mintfield.core.model.MachineType
import mintfield.golden.RecordedCalls.Answer
import mintfield.io.cloud.CloudClient
import mintfield.io.cloud.CloudResult
import mintfield.io.cloud.MachinePage
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** What the cloud is asked, and how its answers are understood. */
class CloudGoldenTest {
    private val service = RecordedCalls()
    private val cloud = CloudClient(service.client, service.rateLimiter)

    @AfterEach
    fun stop() = service.close()

    private fun answer(
        name: String,
        status: Int = 200,
    ) = Answer(status, GoldenFile.text("cloud/answer-$name.json"))

    private fun assertAsked(name: String) {
        GoldenFile.check("cloud/asked-$name.txt", service.takeRequests())
    }

    @Test
    fun `machine types are read with and without optional fields`() {
        val box = MachineType("box", 4.0, 1.0, 16.0, 50.0, 0.5, 0.25, 0.0625, 25.0, listOf("north", "south"))
        val bare = MachineType("bare", 2.0, 0.0, 8.0, 0.0, 1.0, 0.0, 0.0, 60.0, emptyList())
        assertEquals(CloudResult.Ok(listOf(box, bare)), service.during(answer("types")) { cloud.types() })
        assertAsked("types")
    }

    @Test
    fun `machines are provisioned, or there is no capacity, or the cloud fails`() {
        val provisioned = service.during(answer("rented")) { cloud.provision(ScaleOutIntent("plea-1", "box", "north", true, 12)) }
        assertEquals(CloudResult.Ok(listOf("m-000001", "m-000002")), provisioned)
        val expectedToLast = ScaleOutIntent("plea-2", "barrel", "south", false, 1)
        assertEquals(CloudResult.NoCapacity, service.during(answer("no-capacity", 503)) { cloud.provision(expectedToLast) })
        assertEquals(CloudResult.Failed("status 503"), service.during(Answer(503)) { cloud.provision(expectedToLast) })
        assertEquals(CloudResult.Failed("status 429"), service.during(Answer(429)) { cloud.provision(expectedToLast) })
        assertAsked("rent")
    }

    @Test
    fun `machines are released`() {
        assertEquals(CloudResult.Ok(Unit), service.during(Answer(200)) { cloud.release(listOf("m-000001", "m-000002")) })
        assertEquals(CloudResult.Ok(Unit), service.during(Answer(200)) { cloud.release(emptyList()) })
        assertAsked("give-back")
    }

    @Test
    fun `machines are listed by pages`() {
        val whole = ListedMachine("m-000001", "box", "north", true, MachineStage.RUNNING, 12.5)
        val least = ListedMachine("m-000002", "", "", false, MachineStage.UNKNOWN, 0.0)
        assertEquals(CloudResult.Ok(MachinePage(listOf(whole, least), hasNext = true)), service.during(answer("page")) { cloud.list(null) })
        assertEquals(CloudResult.Ok(MachinePage(emptyList(), hasNext = false)), service.during(answer("page-last")) { cloud.list("m-000002") })
        assertAsked("list")
    }
}
