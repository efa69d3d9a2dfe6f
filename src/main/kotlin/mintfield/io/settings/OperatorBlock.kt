package mintfield.io.settings

/**
 * A block of the operators' file, with the [path] at which it stands, so that a fault names the whole field.
 *
 * @param known the fields that it may have; null if it may have any
 */
internal class OperatorBlock(
    private val file: String,
    private val path: String,
    private val values: Map<String, Any?>,
    known: Set<String>?,
) {
    init {
        val strange = if (known == null) null else values.keys.firstOrNull { it !in known }
        if (strange != null) fault(strange, "not known; expected one of ${known.orEmpty().sorted().joinToString(", ")}")
    }

    /** The names of the fields that it has. */
    val fields: Set<String> get() = values.keys

    operator fun contains(field: String) = field in values

    operator fun get(field: String): Any? = values[field]

    /** The block [field]; an empty one if there is none. */
    fun block(
        field: String,
        known: Set<String>?,
    ): OperatorBlock = child(field, "$path$field.", known)

    /** The block with the label [label], of those that this one holds; faults in its fields name it as the file does. */
    fun labelled(
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

        @Suppress("UNCHECKED_CAST") // The parser's blocks are maps by name.
        val map = value as? Map<String, Any?> ?: fault(field, "expected a block")
        return OperatorBlock(file, childPath, map, known)
    }

    /** The number [field], which must lie within [range]; null if there is none. */
    fun number(
        field: String,
        range: ClosedFloatingPointRange<Double>,
    ): Double? {
        val value = values[field] ?: return null
        val found = (value as? Number)?.toDouble()
        if (found == null || found !in range) fault(field, "expected a number from ${range.start} to ${range.endInclusive}, found $value")
        return found
    }

    /** Refuses the [field] of this block. */
    fun fault(
        field: String,
        problem: String,
    ): Nothing = throw SettingsFault(file, "$path$field: $problem")

    /** Refuses the block as a whole. */
    fun fault(problem: String): Nothing = throw SettingsFault(file, "${path.removeSuffix(".")}: $problem")
}
