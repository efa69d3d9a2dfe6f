package mintfield.app.cli

import mintfield.core.model.Settings
import mintfield.io.settings.OperatorFile
import mintfield.io.settings.SettingsFault
import mintfield.io.settings.SettingsFile

/** The settings files that the command line names: the platform's, [config], and the operators' own, [operator], if there is one. */
internal data class SettingsFiles(
    val config: String,
    val operator: String?,
) {
    /** The settings of both files; throws [SettingsFault] if a file cannot be read or is faulty, or if they do not fit together. */
    fun read(): Settings {
        val settings = SettingsFile.read(config)
        // The operators' file is touched only when it is named: each class that is loaded costs time at the start.
        if (operator == null) return settings
        val operatorSettings = OperatorFile.read(operator)
        operatorSettings.sharding?.problem(settings)?.let { throw SettingsFault(operator, it.message) }
        return settings.copy(operator = operatorSettings)
    }
}
