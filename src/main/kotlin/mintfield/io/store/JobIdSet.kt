package mintfield.io.store

/**
 * Codec of a compact form of a set of job ids, so that a long list of predecessors fits into one value of the store. Ids that have the same prefix
 * and number of digits form a group, which is written as the differences between its sorted numbers, in base 36: `wk-000398` and
 * `wk-000405` become `{"wk-6":"b2,7"}`.
 */
object JobIdSet {
    /** Base of the encoded numbers. */
    private const val RADIX = 36

    /** Number of digits that always fit into a [Long]; an id with more is stored verbatim. */
    private const val MAX_DIGITS = 18

    /** The group of the ids that are stored verbatim. */
    private const val VERBATIM = ""

    /** Separates a prefix from the number of an id. */
    private const val DASH = '-'
    private const val SEPARATOR = ','

    /** Encodes [ids] by group; the key of a group is its prefix and number of digits. */
    fun encode(ids: Collection<String>): Map<String, String> =
        ids
            .distinct()
            .groupBy(::groupOf)
            .mapValues { (group, members) -> if (group == VERBATIM) members.joinToString("$SEPARATOR") else differences(members) }

    private fun groupOf(id: String): String {
        val digits = id.substringAfterLast(DASH)
        return if (digits.length > MAX_DIGITS) VERBATIM else id.removeSuffix(digits) + digits.length
    }

    private fun differences(ids: List<String>): String {
        var previous = 0L
        return ids.map { it.substringAfterLast(DASH).toLong() }.sorted().joinToString("$SEPARATOR") { number ->
            val difference = number - previous
            previous = number
            difference.toString(RADIX)
        }
    }

    /** Decodes the ids of [groups], in the order of the groups. */
    fun decode(groups: Map<String, Any?>): Decoded<List<String>> =
        decoding {
            val ids = ArrayList<String>()
            for ((group, text) in groups) {
                val parts = (text as? String).orInvalid(group, "a string").split(SEPARATOR)
                if (group == VERBATIM) ids.addAll(parts) else ids.addAll(readGroup(group, parts))
            }
            ids
        }

    private fun readGroup(
        group: String,
        differences: List<String>,
    ): List<String> {
        val prefix = group.substringBeforeLast(DASH) + DASH
        val digits = group.substringAfterLast(DASH).toIntOrNull().orInvalid(group, "a number of digits in the name")
        var number = 0L
        return differences.map { difference ->
            number += difference.toLongOrNull(RADIX).orInvalid(group, "numbers in base $RADIX")
            prefix + number.toString().padStart(digits, '0')
        }
    }
}
