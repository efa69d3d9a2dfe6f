package mintfield.core.jobs

/**
 * Identifies a round record: the [number]th record of the leader that was elected in [term]. Keys compare in the order in which the records
 * were first written. Their revisions do not: a late copy of a transaction gives the records that it writes a new revision.
 */
data class RoundKey(
    val term: Long,
    val number: Long,
) : Comparable<RoundKey> {
    override fun compareTo(other: RoundKey): Int = compareValuesBy(this, other, RoundKey::term, RoundKey::number)

    /** The written form, such as `412-7`. */
    override fun toString() = "$term$SEPARATOR$number"

    /** Parser of keys. */
    companion object {
        private const val SEPARATOR = '-'

        /** Parses [text] in the form of [toString]. A key in another form counts as the first of a leader elected at [revision], that of its record. */
        fun parse(
            text: String,
            revision: Long,
        ): RoundKey {
            val term = text.substringBefore(SEPARATOR, "").toLongOrNull()
            val number = text.substringAfter(SEPARATOR, "").toLongOrNull()
            return if (term == null || number == null) RoundKey(revision, 0) else RoundKey(term, number)
        }
    }
}
