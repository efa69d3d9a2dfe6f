package mintfield.core.jobs

/** Index of the round records in the store that cover tasks of one job, by chunk. */
internal class RoundCoverage {
    private val rounds = HashMap<Int, MutableSet<JournaledRound>>()

    /** Copy of the list of chunks that are covered by at least one record. */
    val chunks: List<Int> get() = rounds.keys.toList()

    /** Adds [round] as a record that covers at least a part of [chunk]. */
    fun add(
        chunk: Int,
        round: JournaledRound,
    ) {
        rounds.getOrPut(chunk) { HashSet() }.add(round)
    }

    /** Removes the records of [chunk] that are older than [revision], and passes each to [onRemoved]. */
    fun removeBefore(
        chunk: Int,
        revision: Long,
        onRemoved: (JournaledRound) -> Unit,
    ) {
        val ofChunk = rounds[chunk] ?: return
        ofChunk.removeAll { round ->
            val old = round.revision < revision
            if (old) onRemoved(round)
            old
        }
        if (ofChunk.isEmpty()) rounds.remove(chunk)
    }
}
