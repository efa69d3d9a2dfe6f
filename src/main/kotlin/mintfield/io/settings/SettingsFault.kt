package mintfield.io.settings

/**
 * Thrown if a settings file is unusable. The message is a single line for the operator, with the file, the field and the expected value.
 *
 * @property file path of the file
 * @property problem the invalid field, the expected value and the value found
 */
class SettingsFault(
    val file: String,
    val problem: String,
    cause: Throwable? = null,
) : Exception("$file: $problem", cause)
