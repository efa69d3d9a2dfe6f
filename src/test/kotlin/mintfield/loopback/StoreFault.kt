package mintfield.loopback

/** How [FaultyStore] departs from applying a request and answering it at once. */
sealed interface StoreFault {
    /** Applied at once; the answer comes [delayMs] milliseconds later. */
    data class SlowAnswer(
        val delayMs: Long,
    ) : StoreFault

    /** Applied at once; there is no answer. */
    data object LostAnswer : StoreFault

    /** Applied only after [delayMs] milliseconds, whether or not the client still waits. */
    data class AppliedLate(
        val delayMs: Long,
    ) : StoreFault

    /** Never applied, and not answered. */
    data object LostRequest : StoreFault

    /** Not applied, and answered with [status] at once. */
    data class Refused(
        val status: Int,
    ) : StoreFault
}
