package mintfield.core.model

/** The format of log lines: text, or one JSON object per line. */
enum class LogFormat { PLAIN, JSON }
