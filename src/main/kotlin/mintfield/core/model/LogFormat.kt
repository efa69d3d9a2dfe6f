package mintfield.core.model

/** The form of log lines: text, or one JSON object a line. */
enum class LogFormat { PLAIN, JSON }
