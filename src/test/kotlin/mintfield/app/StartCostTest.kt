package mintfield.app

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.File
import java.net.ServerSocket
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** Guards the start time of a controller by the classes that it loads, since a class count, unlike a time, is the same on every machine. */
class StartCostTest {
    @TempDir
    lateinit var folder: Path

    /** Names of the classes loaded from the start of the program until it serves the client port, with an unreachable store. */
    private val loaded: List<String> by lazy {
        val log = folder.resolve("classes.log").toFile()
        val settings = folder.resolve("settings.toml").toFile()
        settings.writeText(settings())
        val program =
            ProcessBuilder(
                File(System.getProperty("java.home"), "bin/java").path,
                "-Xlog:class+load:file=$log",
                "-cp",
                System.getProperty("java.class.path"),
                "mintfield.app.MainKt",
                "--config",
                settings.path,
            )
        program.environment()["LOG_LEVEL"] = "info"
        val process = program.redirectErrorStream(true).start()
        try {
            process.inputStream
                .bufferedReader()
                .lineSequence()
                .first { " serves " in it }
        } finally {
            process.destroyForcibly().waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)
        }
        log.readLines().filter { " source: " in it }.map { it.substringBefore(" source: ").substringAfterLast(' ') }
    }

    @Test
    fun `a start loads neither a JSON object mapper nor a logging framework nor locale data nor proxies`() {
        // Each of these accounted for a tenth to a quarter of the start time, that is two seconds, with 7.6 percent of a core.
        val expensive = listOf("com.fasterxml.jackson.databind.ObjectMapper", "java.util.logging.Logger", "sun.util.cldr.", "java.lang.reflect.Proxy$")
        assertEquals(emptyList<String>(), loaded.filter { name -> expensive.any { name.startsWith(it) } })
    }

    @Test
    fun `a start loads fewer classes than the limit`() {
        assertTrue(loaded.any { it == "mintfield.app.Controller" }, "the class log does not list the controller")
        assertTrue(loaded.size < MAX_CLASSES, "${loaded.size} classes")
    }

    /** Returns [count] different ports that are free. */
    private fun freePorts(count: Int): List<Int> {
        val sockets = List(count) { ServerSocket(0) }
        sockets.forEach { it.close() }
        return sockets.map { it.localPort }
    }

    private fun settings(): String {
        val (client, internal, cloud, state) = freePorts(count = 4)
        return """
        member = "a"
        zone = "a"
        client_listen = "127.0.0.1:$client"
        internal_addr = "127.0.0.1:$internal"
        [outside]
        cloud = "127.0.0.1:$cloud"
        state = "127.0.0.1:$state"
        [params]
        zones = ["a"]
        [params.workers]
        report_s = 1.0
        lease_s = 10.0
        cancel_s = 40.0
        [params.state]
        rps = 60.0
        write_rps = 20.0
        value_kb = 8.0
        txn_ops = 16
        [params.cloud]
        rps = 4.0
        list_lag_s = 5.0
        [params.resources]
        max_sockets = 600
        """
    }

    private companion object {
        const val EXIT_TIMEOUT_S = 10L

        /** Limit that catches a return to 2,360 classes, from 1,530. Each class costs about 20 microseconds, even from the class data archive. */
        const val MAX_CLASSES = 1_750
    }
}
