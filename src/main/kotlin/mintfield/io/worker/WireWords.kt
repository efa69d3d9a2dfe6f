package mintfield.io.worker

/** A one-to-one mapping between values of the model and the words that represent them on the wire. */
internal class WireWords<T : Any>(
    vararg entries: Pair<T, String>,
) {
    private val words = entries.toMap()
    private val values = words.entries.associate { (value, word) -> word to value }

    /** The word for [value], which must be in the table. */
    fun wordFor(value: T): String = words.getValue(value)

    /** The value that [word] stands for; null if there is none. */
    fun valueOf(word: String?): T? = values[word]
}
