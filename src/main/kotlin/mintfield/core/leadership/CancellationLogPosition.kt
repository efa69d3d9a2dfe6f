package mintfield.core.leadership

/** How far a reader has read the [CancellationLog] of the process [incarnation]: the entry with the number [next] is the first that it lacks. */
data class CancellationLogPosition(
    val incarnation: Long,
    val next: Long,
) {
    /** Holds the position from which reading begins. */
    companion object {
        /** The position of a reader that has read nothing of any process. */
        val NONE = CancellationLogPosition(incarnation = 0, next = 0)
    }
}
