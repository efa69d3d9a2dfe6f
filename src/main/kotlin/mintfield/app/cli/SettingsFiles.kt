package mintfield.app.cli

import mintfield.core.model.Settings
import mintfield.io.settings.OperatorFile
import mintfield.io.settings.SettingsFault
import mintfield.io.settings.SettingsFile

/** The paths of the settings files given on the command line: the platform's file [config] and the operators' file [operator], null if not given. */
internal data class SettingsFiles(
    val config: String,
    val operator: String?,
) {
    /** Reads both files. Throws [SettingsFault] if a file cannot be read or is invalid, or if the files contradict each other. */
    fun read(): Settings {
        val settings = SettingsFile.read(config)
        // Without an operators' file its parser is not loaded, since every loaded class delays the start.
        if (operator == null) return settings
        val operatorSettings = OperatorFile.read(operator)
        operatorSettings.sharding?.problem(settings)?.let { throw SettingsFault(operator, it.message) }
        return settings.copy(operator = operatorSettings)
    }
}
