package mintfield.app.cli

import mintfield.core.model.Settings
import mintfield.io.settings.OperatorFile
import mintfield.io.settings.SettingsFault
import mintfield.io.settings.SettingsFile

/** The settings files that the command line names: the platform's, [config], and the operators' own, [operator]. */
internal data class SettingsFiles(
    val config: String?,
    val operator: String?,
) {
    /** The settings of both files; throws [SettingsFault] if a file is missing or faulty, or if they do not fit together. */
    fun read(): Settings {
        val settings = SettingsFile.read(config ?: throw SettingsFault("expected --config FILE; see --help"))
        // The operators' file is touched only when it is named: each class that is loaded costs time at the start.
        val operatorSettings = operator?.let { OperatorFile.read(it) } ?: return settings
        operatorSettings.sharding?.problem(settings)?.let { throw SettingsFault("$operator: ${it.message}") }
        return settings.copy(operator = operatorSettings)
    }
}
