package mintfield.core.leadership

/** A reader's position in the [CancellationLog] of the process [incarnation]: [next] is the number of the first unread entry. */
data class CancellationLogPosition(
    val incarnation: Long,
    val next: Long,
) {
    /** The initial position. */
    companion object {
        /** The position of a reader that has not read any log. */
        val NONE = CancellationLogPosition(incarnation = 0, next = 0)
    }
}
