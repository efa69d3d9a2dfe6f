package mintfield.io.loop

import mintfield.io.json.Json

/** Lines on standard error, at the level of the variable `LOG_LEVEL`. */
object Log {
    private enum class Level { ERROR, INFO, DEBUG }

    private val level =
        when (System.getenv("LOG_LEVEL")?.lowercase()) {
            "debug" -> Level.DEBUG
            "info" -> Level.INFO
            else -> Level.ERROR
        }

    /** Set once at the start, before anything is logged. */
    var json = false

    val infoOn: Boolean get() = level >= Level.INFO
    val debugOn: Boolean get() = level >= Level.DEBUG

    fun error(line: String) = write("ERROR", line)

    fun info(line: String) {
        if (infoOn) write("INFO", line)
    }

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
