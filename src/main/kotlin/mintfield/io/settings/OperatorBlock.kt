package mintfield.io.settings

/**
 * A block of the operators' settings file, with its [path] in the file, so that errors name the full path of a field.
 *
 * @param known the permitted fields; null permits any
 */
internal class OperatorBlock(
    private val file: String,
    private val path: String,
    private val values: Map<String, Any?>,
    known: Set<String>?,
) {
    init {
        val unknown = if (known == null) null else values.keys.firstOrNull { it !in known }
        if (unknown != null) fault(unknown, "not known; expected one of ${known.orEmpty().sorted().joinToString(", ")}")
    }

    /** The names of the fields of the block. */
    val fields: Set<String> get() = values.keys

    operator fun contains(field: String) = field in values

    operator fun get(field: String): Any? = values[field]

    /** The block [field]; an empty block if there is none. */
    fun block(
        field: String,
        known: Set<String>?,
    ): OperatorBlock = child(field, "$path$field.", known)

    /**
     * The contained block with the label [label]. Errors about invalid values in it name it as the file does, with a space before the label.
     * Errors about unknown fields have a dot there.
     */
    fun labelledBlock(
        label: String,
        known: Set<String>,
    ): OperatorBlock {
        val block = child(label, "$path$label.", known)
        return OperatorBlock(file, "${path.removeSuffix(".")} $label.", block.values, known = null)
    }

    private fun child(
        field: String,
        childPath: String,
        known: Set<String>?,
    ): OperatorBlock {
        val value = values[field] ?: return OperatorBlock(file, childPath, emptyMap(), known)

        @Suppress("UNCHECKED_CAST") // The parser represents a block as a map from field names to values.
        val map = value as? Map<String, Any?> ?: fault(field, "expected a block, found $value")
        return OperatorBlock(file, childPath, map, known)
    }

    /** The number [field], which must be within [range]; null if the field is absent. */
    fun number(
        field: String,
        range: ClosedFloatingPointRange<Double>,
    ): Double? {
        val value = values[field] ?: return null
        val found = (value as? Number)?.toDouble()
        if (found == null || found !in range) fault(field, "expected a number from ${range.start} to ${range.endInclusive}, found $value")
        return found
    }

    /** Throws a [SettingsFault] about [field]. */
    fun fault(
        field: String,
        problem: String,
    ): Nothing = throw SettingsFault(file, "$path$field: $problem")

    /** Throws a [SettingsFault] about the block as a whole. */
    fun fault(problem: String): Nothing = throw SettingsFault(file, "${path.removeSuffix(".")}: $problem")
}
