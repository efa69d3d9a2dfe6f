package mintfield.tools

import java.io.File
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** Controller in a separate process, with its resource usage as read from `/proc`. */
internal class ControllerProcess(
    val member: String,
    val clientPort: Int,
    private val command: List<String>,
    private val log: File,
    /** Number of requests that it has sent to the store. */
    val requests: AtomicLong,
) {
    private lateinit var process: Process

    /** Starts the process. */
    fun start() {
        process = ProcessBuilder(command).redirectError(log).also { it.environment()["LOG_LEVEL"] = "info" }.start()
    }

    /** Kills the process and waits up to [KILL_TIMEOUT_S] for its end. */
    fun kill() {
        process.destroyForcibly().waitFor(KILL_TIMEOUT_S, TimeUnit.SECONDS)
    }

    /** CPU time used so far, in seconds. */
    fun cpuS(): Double {
        val fields =
            File("/proc/${process.pid()}/stat")
                .readText()
                .substringAfterLast(')')
                .trim()
                .split(' ')
        return (fields[USER_TICKS_FIELD].toLong() + fields[SYSTEM_TICKS_FIELD].toLong()) / TICKS_PER_S
    }

    /** Resident memory in megabytes. */
    fun residentMb(): Long =
        File("/proc/${process.pid()}/status")
            .readLines()
            .first { it.startsWith("VmRSS") }
            .filter(Char::isDigit)
            .toLong() / KB_PER_MB

    /** Number of open file descriptors, including sockets. */
    fun descriptors(): Int = File("/proc/${process.pid()}/fd").list()?.size ?: 0

    /** Whether its log has a line that contains [text]. */
    fun logged(text: String): Boolean = log.exists() && log.useLines { lines -> lines.any { text in it } }

    private companion object {
        const val USER_TICKS_FIELD = 11
        const val SYSTEM_TICKS_FIELD = 12
        const val TICKS_PER_S = 100.0
        const val KB_PER_MB = 1024
        const val KILL_TIMEOUT_S = 10L
    }
}
