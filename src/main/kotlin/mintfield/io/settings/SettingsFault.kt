package mintfield.io.settings

/**
 * A settings file cannot be used. The message is one line for the operator: the file, the field and what was expected there.
 *
 * @property file path of the file
 * @property problem the field that is wrong, what was expected and what was found
 */
class SettingsFault(
    val file: String,
    val problem: String,
    cause: Throwable? = null,
) : Exception("$file: $problem", cause)
