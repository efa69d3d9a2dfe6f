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

/** Pins the responses to users, workers and other controllers, and the paths between controllers. */
class UserApiGoldenTest {
    private val cluster = TestCluster()

    @AfterEach
    fun stop() = cluster.stop()

    /** Sends a request on a new connection and returns the raw response. */
    private fun send(
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

    /** Records several requests and their responses, in order. */
    private inner class Exchange(
        private val address: InetSocketAddress,
    ) {
        private val text = StringBuilder()

        fun send(
            method: String,
            path: String,
            body: String = "",
        ) {
            text.append("> $method $path\n").append(send(address, method, path, body)).append("\n\n")
        }

        fun assertMatches(name: String) {
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
        val user = Exchange(cluster.startController("plot-0").address)
        user.send("GET", "/ready")
        user.send("POST", "/v1/jobs", TestJobs.json("wk-000001", 3))
        user.send("POST", "/v1/jobs", TestJobs.json("wk-000001", 3))
        user.send("GET", "/v1/jobs/wk-000001")
        user.send("POST", "/v1/jobs/wk-000001/abort")
        user.send("POST", "/v1/jobs/wk-000001/abort")
        user.send("GET", "/v1/jobs/wk-000001")
        user.send("POST", "/v1/jobs", TestJobs.json("wk-000002", 1, predecessors = listOf("wk-000001")))
        user.send("POST", "/v1/jobs", TestJobs.json("wk-000003", 1, predecessors = listOf("wk-000099")))
        user.send("GET", "/v1/jobs/wk-000099")
        user.send("POST", "/v1/jobs/wk-000099/abort")
        user.send("GET", "/v1/jobs/no%20id")
        user.send("POST", "/v1/jobs", "no JSON")
        user.send("POST", "/v1/jobs", """{"id":"wk-000004"}""")
        user.send("POST", "/v1/jobs", TestJobs.json("wk-000004", 1, team = "nobody"))
        user.send("POST", "/v1/jobs", TestJobs.json("wk-000004", 1, cpus = 99.0))
        user.send("POST", "/v1/jobs", TestJobs.json("wk-000004", 4, shape = "ensemble", team = "small", cpus = 4.0))
        user.send("GET", "/v1/jobs")
        user.send("POST", "/ready")
        user.send("GET", "/checkin")
        user.send("GET", "/elsewhere")
        user.assertMatches("answers")
    }

    @Test
    fun `a job runs and is done`() {
        cluster.start(machines = 1)
        val address = cluster.startController("plot-0").address
        val user = Exchange(address)
        user.send("POST", "/v1/jobs", TestJobs.json("wk-000001", 1, shape = "standing"))
        await("the service runs") { "\"running\":1" in send(address, "GET", "/v1/jobs/wk-000001", "") }
        user.send("GET", "/v1/jobs/wk-000001")
        user.send("POST", "/v1/jobs", TestJobs.json("wk-000002", 2))
        await("the job is done") { "\"stage\":\"done\"" in send(address, "GET", "/v1/jobs/wk-000002", "") }
        user.send("GET", "/v1/jobs/wk-000002")
        user.assertMatches("answers-run")
    }

    @Test
    fun `an invalid heartbeat is refused, and a worker that knows a later term is redirected`() {
        cluster.start(machines = 0)
        val address = cluster.startController("plot-0").address
        val worker = Exchange(address)
        await("the controller leads") { " 400 " in send(address, "POST", "/checkin", "{}") }
        worker.send("POST", "/checkin", "{}")
        worker.send("POST", "/checkin", GoldenFile.text("worker/report.json"))
        worker.assertMatches("answers-to-workers")
    }

    @Test
    fun `paths between controllers are stable`() {
        cluster.start(machines = 0)
        val internal = cluster.startController("plot-0").settings.internalAddress
        val peer = Exchange(InetSocketAddress(internal.substringBefore(':'), internal.substringAfter(':').toInt()))
        for (path in listOf("/peer", "/relay", "/user", "/guests", "/elsewhere")) peer.send("POST", path, "\u0007")
        peer.send("GET", "/peer")
        peer.assertMatches("answers-to-controllers")
    }
}
