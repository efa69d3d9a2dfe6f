package mintfield.io.store

/**
 * A set of job ids in few characters, so that a long list of predecessors fits one value: the ids of one prefix and length as the
 * differences of their sorted numbers in base 36. `wk-000398` and `wk-000405` become `{"wk-6":"b2,7"}`.
 */
object JobIdSet {
    private const val RADIX = 36

    /** Digits that surely fit a Long; longer numbers are kept as they are. */
    private const val MOST_DIGITS = 18

    /** The key of ids that are kept as they are. */
    private const val WHOLE = ""

    /** The written form of [ids], by prefix and number of digits. */
    fun encode(ids: Collection<String>): Map<String, String> =
        ids
            .distinct()
            .groupBy(::groupOf)
            .mapValues { (group, members) -> if (group == WHOLE) members.joinToString(",") else differences(members) }

    private fun groupOf(id: String): String {
        val digits = id.substringAfterLast('-')
        return if (digits.length > MOST_DIGITS) WHOLE else id.removeSuffix(digits) + digits.length
    }

    private fun differences(ids: List<String>): String {
        val numbers = ids.map { it.substringAfterLast('-').toLong() }.sorted()
        return numbers.mapIndexed { i, number -> (if (i == 0) number else number - numbers[i - 1]).toString(RADIX) }.joinToString(",")
    }

    /** The ids that [groups] stand for; null if they cannot be read. */
    fun decode(groups: Map<String, Any?>): List<String>? {
        val ids = ArrayList<String>()
        for ((group, text) in groups) {
            val parts = (text as? String ?: return null).split(',')
            if (group == WHOLE) ids.addAll(parts) else ids.addAll(decodeGroup(group, parts) ?: return null)
        }
        return ids
    }

    private fun decodeGroup(
        group: String,
        parts: List<String>,
    ): List<String>? {
        val prefix = group.substringBeforeLast('-') + "-"
        val digits = group.substringAfterLast('-').toIntOrNull() ?: return null
        var number = 0L
        return parts.map { part ->
            number += part.toLongOrNull(RADIX) ?: return null
            prefix + number.toString().padStart(digits, '0')
        }
    }
}
