package mintfield.golden

import mintfield.core.ScaleOutIntent
import mintfield.core.fleet.ListedMachine
import mintfield.core.fleet.MachineStage
import mintfield.core.model.MachineType
import mintfield.golden.RecordedCalls.CannedResponse
import mintfield.io.cloud.CloudClient
import mintfield.io.cloud.CloudResult
import mintfield.io.cloud.MachinePage
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Pins the requests to the cloud, and how its responses are read. */
class CloudGoldenTest {
    private val service = RecordedCalls()
    private val cloud = CloudClient(service.client, service.rateLimiter)

    @AfterEach
    fun stop() = service.close()

    private fun response(
        name: String,
        status: Int = 200,
    ) = CannedResponse(status, GoldenFile.text("cloud/answer-$name.json"))

    private fun assertRequests(name: String) {
        GoldenFile.check("cloud/asked-$name.txt", service.takeRequests())
    }

    @Test
    fun `machine types are read with and without optional fields`() {
        val box = MachineType("box", 4.0, 1.0, 16.0, 50.0, 0.5, 0.25, 0.0625, 25.0, listOf("north", "south"))
        val bare = MachineType("bare", 2.0, 0.0, 8.0, 0.0, 1.0, 0.0, 0.0, 60.0, emptyList())
        assertEquals(CloudResult.Ok(listOf(box, bare)), service.respondingWith(response("types")) { cloud.types() })
        assertRequests("types")
    }

    @Test
    fun `machines are provisioned, or there is no capacity, or the cloud fails`() {
        val provisioned = service.respondingWith(response("rented")) { cloud.provision(ScaleOutIntent("plea-1", "box", "north", true, 12)) }
        assertEquals(CloudResult.Ok(listOf("m-000001", "m-000002")), provisioned)
        val onDemand = ScaleOutIntent("plea-2", "barrel", "south", false, 1)
        assertEquals(CloudResult.NoCapacity, service.respondingWith(response("no-capacity", 503)) { cloud.provision(onDemand) })
        assertEquals(CloudResult.Failed("status 503"), service.respondingWith(CannedResponse(503)) { cloud.provision(onDemand) })
        assertEquals(CloudResult.Failed("status 429"), service.respondingWith(CannedResponse(429)) { cloud.provision(onDemand) })
        assertRequests("rent")
    }

    @Test
    fun `machines are released`() {
        assertEquals(CloudResult.Ok(Unit), service.respondingWith(CannedResponse(200)) { cloud.release(listOf("m-000001", "m-000002")) })
        assertEquals(CloudResult.Ok(Unit), service.respondingWith(CannedResponse(200)) { cloud.release(emptyList()) })
        assertRequests("give-back")
    }

    @Test
    fun `machines are listed by pages`() {
        val whole = ListedMachine("m-000001", "box", "north", true, MachineStage.RUNNING, 12.5)
        val least = ListedMachine("m-000002", "", "", false, MachineStage.UNKNOWN, 0.0)
        assertEquals(CloudResult.Ok(MachinePage(listOf(whole, least), hasNext = true)), service.respondingWith(response("page")) { cloud.list(null) })
        assertEquals(CloudResult.Ok(MachinePage(emptyList(), hasNext = false)), service.respondingWith(response("page-last")) { cloud.list("m-000002") })
        assertRequests("list")
    }
}
