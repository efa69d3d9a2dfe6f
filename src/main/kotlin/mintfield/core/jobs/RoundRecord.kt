package mintfield.core.jobs

/** Record of one round: a single value in the store with the changes of all changed jobs. */
class RoundRecord(
    val parts: List<RoundPart>,
    /**
     * Whether its writer kept every record that was the last to state the release of a task that an older record plans. Versions before
     * the field existed deleted such records.
     */
    val keepsReleases: Boolean = true,
) {
    /** How many tasks the record states as planned, done and released, as a phrase for log lines. */
    val summary: String
        get() {
            val planned = parts.sumOf { part -> part.plans.sumOf { it.indices.size } }
            val done = parts.sumOf { it.done.size }
            val released = parts.sumOf { it.released.size }
            return "$planned tasks planned, $done done, $released released"
        }
}
