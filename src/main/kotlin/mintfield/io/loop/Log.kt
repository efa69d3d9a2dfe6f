package mintfield.io.loop

import mintfield.io.json.Json

/** Log on standard error, with lines of plain text or JSON objects. The environment variable `LOG_LEVEL` sets the level; the default is `error`. */
object Log {
    private enum class Level { ERROR, INFO, DEBUG }

    private val level =
        when (System.getenv("LOG_LEVEL")?.lowercase()) {
            "debug" -> Level.DEBUG
            "info" -> Level.INFO
            else -> Level.ERROR
        }

    /** Whether lines are JSON objects. Must be set before the first line is logged. */
    var json = false

    private val isInfoEnabled: Boolean get() = level >= Level.INFO
    private val isDebugEnabled: Boolean get() = level >= Level.DEBUG

    /** Logs a condition that an operator must look into. */
    fun error(line: String) = write("ERROR", line)

    /** Logs an event that helps operators follow the operation of the controller. */
    fun info(line: String) {
        if (isInfoEnabled) write("INFO", line)
    }

    /** Logs a detail that only developers need. */
    fun debug(line: String) {
        if (isDebugEnabled) write("DEBUG", line)
    }

    private fun write(
        levelName: String,
        line: String,
    ) = System.err.println(
        if (json) {
            String(
                Json.obj {
                    writeStringField("level", levelName.lowercase())
                    writeStringField("message", line)
                },
            )
        } else {
            "$levelName $line"
        },
    )
}
