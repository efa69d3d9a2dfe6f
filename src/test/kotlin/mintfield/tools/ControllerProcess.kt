package mintfield.tools

import java.io.File
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** A controller that runs as a process of its own, and its use of resources as `/proc` shows it. */
internal class ControllerProcess(
    val member: String,
    val clientPort: Int,
    private val command: List<String>,
    private val log: File,
    /** Requests that it has sent to the store. */
    val requests: AtomicLong,
) {
    private lateinit var process: Process

    /** Starts the process. */
    fun start() {
        process = ProcessBuilder(command).redirectError(log).also { it.environment()["LOG_LEVEL"] = "info" }.start()
    }

    /** Kills the process and waits for its end. */
    fun kill() {
        process.destroyForcibly().waitFor(KILL_S, TimeUnit.SECONDS)
    }

    /** Seconds of processor time so far. */
    fun cpuS(): Double {
        val fields =
            File("/proc/${process.pid()}/stat")
                .readText()
                .substringAfterLast(')')
                .trim()
                .split(' ')
        return (fields[USER_TICKS].toLong() + fields[SYSTEM_TICKS].toLong()) / TICKS_PER_S
    }

    /** Megabytes in memory. */
    fun residentMb(): Long =
        File("/proc/${process.pid()}/status")
            .readLines()
            .first { it.startsWith("VmRSS") }
            .filter(Char::isDigit)
            .toLong() / KB_PER_MB

    /** Open sockets and files. */
    fun descriptors(): Int = File("/proc/${process.pid()}/fd").list()?.size ?: 0

    /** Whether a line of its log contains [text]. */
    fun logged(text: String): Boolean = log.exists() && log.useLines { lines -> lines.any { text in it } }

    private companion object {
        const val USER_TICKS = 11
        const val SYSTEM_TICKS = 12
        const val TICKS_PER_S = 100.0
        const val KB_PER_MB = 1024
        const val KILL_S = 10L
    }
}
