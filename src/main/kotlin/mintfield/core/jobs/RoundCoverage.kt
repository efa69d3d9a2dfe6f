package mintfield.core.jobs

/** The round records in the store that cover tasks of one job, by chunk. */
internal class RoundCoverage {
    private val rounds = HashMap<Int, MutableSet<JournaledRound>>()

    /** The chunks that any record covers, as a copy. */
    val chunks: List<Int> get() = rounds.keys.toList()

    /** [round] covers a part of [chunk]. */
    fun add(
        chunk: Int,
        round: JournaledRound,
    ) {
        rounds.getOrPut(chunk) { HashSet() }.add(round)
    }

    /** Removes the rounds of [chunk] that are older than [revision], and passes each to [removed]. */
    fun removeBefore(
        chunk: Int,
        revision: Long,
        removed: (JournaledRound) -> Unit,
    ) {
        val ofChunk = rounds[chunk] ?: return
        ofChunk.removeAll { round ->
            val old = round.revision < revision
            if (old) removed(round)
            old
        }
        if (ofChunk.isEmpty()) rounds.remove(chunk)
    }
}
