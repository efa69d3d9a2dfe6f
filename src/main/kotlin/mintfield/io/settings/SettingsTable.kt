package mintfield.io.settings

import mintfield.io.http.parseAddress
import mintfield.io.json.asList
import mintfield.io.json.asMap
import mintfield.io.json.double
import mintfield.io.json.string

/**
 * A table of the platform's settings file, with its path in the file, so that errors name the full path of a field. Functions that read a
 * required field throw [SettingsFault] if the field is missing or of another type.
 */
internal class SettingsTable(
    private val file: String,
    private val values: Map<String, Any?>,
    private val path: String = "",
) {
    operator fun contains(field: String) = values[field] != null

    /** The table at [tablePath], a path of names separated by dots. */
    fun table(tablePath: String): SettingsTable {
        var node = values
        for (part in tablePath.split('.')) node = node[part].asMap() ?: fault(tablePath, "expected a table, found nothing")
        return SettingsTable(file, node, "$path$tablePath.")
    }

    /** The table [field]; null if there is none. */
    fun optionalTable(field: String): SettingsTable? {
        val value = values[field] ?: return null
        val table = value.asMap() ?: fault("$path$field", "expected a table, found $value")
        return SettingsTable(file, table, "$path$field.")
    }

    /** The tables of the list [field]; empty if there is none. */
    fun tables(field: String): List<SettingsTable> =
        list(field).mapIndexed { index, item -> SettingsTable(file, item.asMap() ?: emptyMap(), "$path$field[$index].") }

    /** The list [field]; empty if there is none. */
    fun list(field: String): List<Any?> {
        val value = values[field] ?: return emptyList()
        return value.asList() ?: fault(field, "expected a list, found $value")
    }

    fun text(field: String): String {
        val value = values[field] ?: fault("$path$field", "expected a string, found nothing")
        return (value as? String)?.takeIf { it.isNotEmpty() } ?: fault("$path$field", "expected a string, found $value")
    }

    fun optionalText(field: String): String? = values.string(field)

    /** The IPv4 address and port in [field], such as `10.0.0.1:8080`. */
    fun address(field: String): String {
        val value = text(field)
        if (parseAddress(value) == null) fault("$path$field", "expected an IPv4 address and port such as 10.0.0.1:8080, found $value")
        return value
    }

    /** The number [field], which must be greater than 0. */
    fun positive(field: String): Double = number(field, "more than 0") { it > 0 }

    /** The number [field], which must be 0 or greater. */
    fun nonNegative(field: String): Double = number(field, "0 or more") { it >= 0 }

    fun optionalNumber(field: String): Double? = values.double(field)

    private inline fun number(
        field: String,
        expected: String,
        isValid: (Double) -> Boolean,
    ): Double {
        val found = values[field] ?: fault("$path$field", "expected a number, found nothing")
        val value = values.double(field)
        if (value == null || !isValid(value)) fault("$path$field", "expected a number of $expected, found $found")
        return value
    }

    private fun fault(
        field: String,
        problem: String,
    ): Nothing = throw SettingsFault(file, "$field: $problem")
}
