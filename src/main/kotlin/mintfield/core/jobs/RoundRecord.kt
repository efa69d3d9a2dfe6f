package mintfield.core.jobs

/** The record of one round: a single value in the store for all the jobs that changed. */
class RoundRecord(
    val parts: List<RoundPart>,
)
