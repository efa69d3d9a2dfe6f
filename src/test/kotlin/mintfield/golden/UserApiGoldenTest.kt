package mintfield.golden

import mintfield.io.json.Json
import mintfield.io.worker.JobCodec
import mintfield.loopback.TestCluster
import mintfield.loopback.TestJobs
import mintfield.loopback.await
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import java.net.Socket

/** Requests of users and their answers, and the paths between controllers. */
class UserApiGoldenTest {
    private val cluster = TestCluster()

    @AfterEach
    fun stop() = cluster.stop()

    /** The bytes of the answer to a request on a connection of its own. */
    private fun ask(
        address: InetSocketAddress,
        method: String,
        path: String,
        body: String,
    ): String =
        Socket(address.address, address.port).use { socket ->
            val bytes = body.toByteArray()
            val head = "$method $path HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: ${bytes.size}\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray() + bytes)
            String(socket.getInputStream().readAllBytes())
        }

    /** Answers to several requests, each after the line that asked. */
    private inner class Dialogue(
        private val address: InetSocketAddress,
    ) {
        private val text = StringBuilder()

        fun ask(
            method: String,
            path: String,
            body: String = "",
        ) {
            text.append("> $method $path\n").append(ask(address, method, path, body)).append("\n\n")
        }

        fun assertKept(name: String) {
            GoldenFile.check("user/$name.txt", text.toString().toByteArray())
        }
    }

    private fun submitted(name: String) = JobCodec.parse(Json.parse(GoldenFile.bytes("user/submitted-$name.json")))

    @Test
    fun `a submitted job is read with and without optional fields`() {
        assertEquals(JobCodec.Parsed.Valid(GoldenJobs.dependent), submitted("whole"))
        assertEquals(JobCodec.Parsed.Valid(GoldenJobs.sparse), submitted("nulls"))
        assertEquals(JobCodec.Parsed.Valid(GoldenJobs.sparse), submitted("sparse"))
    }

    @Test
    fun `a job is accepted, polled and cancelled, and invalid requests are refused`() {
        cluster.start(machines = 0)
        val user = Dialogue(cluster.startController("plot-0").address)
        user.ask("GET", "/ready")
        user.ask("POST", "/v1/jobs", TestJobs.json("wk-000001", 3))
        user.ask("POST", "/v1/jobs", TestJobs.json("wk-000001", 3))
        user.ask("GET", "/v1/jobs/wk-000001")
        user.ask("POST", "/v1/jobs/wk-000001/abort")
        user.ask("POST", "/v1/jobs/wk-000001/abort")
        user.ask("GET", "/v1/jobs/wk-000001")
        user.ask("POST", "/v1/jobs", TestJobs.json("wk-000002", 1, predecessors = listOf("wk-000001")))
        user.ask("POST", "/v1/jobs", TestJobs.json("wk-000003", 1, predecessors = listOf("wk-000099")))
        user.ask("GET", "/v1/jobs/wk-000099")
        user.ask("POST", "/v1/jobs/wk-000099/abort")
        user.ask("GET", "/v1/jobs/no%20id")
        user.ask("POST", "/v1/jobs", "no JSON")
        user.ask("POST", "/v1/jobs", """{"id":"wk-000004"}""")
        user.ask("POST", "/v1/jobs", TestJobs.json("wk-000004", 1, team = "nobody"))
        user.ask("POST", "/v1/jobs", TestJobs.json("wk-000004", 1, cpus = 99.0))
        user.ask("POST", "/v1/jobs", TestJobs.json("wk-000004", 4, shape = "ensemble", team = "small", cpus = 4.0))
        user.ask("GET", "/v1/jobs")
        user.ask("POST", "/ready")
        user.ask("GET", "/checkin")
        user.ask("GET", "/elsewhere")
        user.assertKept("answers")
    }

    @Test
    fun `a job runs and is done`() {
        cluster.start(machines = 1)
        val address = cluster.startController("plot-0").address
        val user = Dialogue(address)
        user.ask("POST", "/v1/jobs", TestJobs.json("wk-000001", 1, shape = "standing"))
        await("the service runs") { "\"running\":1" in ask(address, "GET", "/v1/jobs/wk-000001", "") }
        user.ask("GET", "/v1/jobs/wk-000001")
        user.ask("POST", "/v1/jobs", TestJobs.json("wk-000002", 2))
        await("the job is done") { "\"stage\":\"done\"" in ask(address, "GET", "/v1/jobs/wk-000002", "") }
        user.ask("GET", "/v1/jobs/wk-000002")
        user.assertKept("answers-run")
    }

    @Test
    fun `an invalid heartbeat is refused, and a worker that knows a later term is redirected`() {
        cluster.start(machines = 0)
        val address = cluster.startController("plot-0").address
        val worker = Dialogue(address)
        await("it leads") { " 400 " in ask(address, "POST", "/checkin", "{}") }
        worker.ask("POST", "/checkin", "{}")
        worker.ask("POST", "/checkin", GoldenFile.text("worker/report.json"))
        worker.assertKept("answers-to-workers")
    }

    @Test
    fun `paths between controllers are stable`() {
        cluster.start(machines = 0)
        val internal = cluster.startController("plot-0").settings.internalAddress
        val peer = Dialogue(InetSocketAddress(internal.substringBefore(':'), internal.substringAfter(':').toInt()))
        for (path in listOf("/peer", "/relay", "/user", "/guests", "/elsewhere")) peer.ask("POST", path, "\u0007")
        peer.ask("GET", "/peer")
        peer.assertKept("answers-to-controllers")
    }
}
