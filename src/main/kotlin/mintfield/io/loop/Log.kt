package mintfield.io.loop

import mintfield.io.json.Json

/** The log: lines on standard error, plain or as JSON objects, at the level that the environment variable `LOG_LEVEL` names. */
object Log {
    private enum class Level { ERROR, INFO, DEBUG }

    private val level =
        when (System.getenv("LOG_LEVEL")?.lowercase()) {
            "debug" -> Level.DEBUG
            "info" -> Level.INFO
            else -> Level.ERROR
        }

    /** Whether lines are JSON objects. Set once at the start, before anything is logged. */
    var json = false

    private val infoOn: Boolean get() = level >= Level.INFO
    private val debugOn: Boolean get() = level >= Level.DEBUG

    /** Logs what an operator must look at. */
    fun error(line: String) = write("ERROR", line)

    /** Logs what an operator wants to follow. */
    fun info(line: String) {
        if (infoOn) write("INFO", line)
    }

    /** Logs what only a developer needs. */
    fun debug(line: String) {
        if (debugOn) write("DEBUG", line)
    }

    private fun write(
        word: String,
        line: String,
    ) = System.err.println(
        if (json) {
            String(
                Json.obj {
                    writeStringField("level", word.lowercase())
                    writeStringField("message", line)
                },
            )
        } else {
            "$word $line"
        },
    )
}
