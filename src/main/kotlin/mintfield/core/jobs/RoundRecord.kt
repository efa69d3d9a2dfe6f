package mintfield.core.jobs

/** Record of one round: a single value in the store with the changes of all changed jobs. */
class RoundRecord(
    val parts: List<RoundPart>,
)
