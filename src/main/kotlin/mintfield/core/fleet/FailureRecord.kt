package mintfield.core.fleet

/** Failures of tasks on one machine since its last success, and for how long it gets no new tasks for them. Times are steady milliseconds. */
class FailureRecord {
    private val suspects = HashSet<String>()

    /** Failures since the last success, less those that turned out to be their jobs' fault. */
    var failures = 0
        private set

    /** Those of [failures] that are the machine's fault, as the jobs succeed elsewhere. */
    var attributedFailures = 0
        private set

    /** No new tasks before this moment, as the machine refused some or its responses were lost. */
    var backoffUntilMs = 0L
        private set

    /** No new tasks before this moment, as it fails them. */
    var quarantinedUntilMs = 0L
        private set

    /**
     * Number of jobs among [failures] of which it is not known whether they can succeed. A field of its own, as each tick reads it for each
     * machine.
     */
    var suspectJobs = 0
        private set

    /** A task has succeeded here. */
    fun succeeded() {
        failures = 0
        attributedFailures = 0
        suspects.clear()
        suspectJobs = 0
    }

    /** A task of a healthy job has failed here. */
    fun failedByMachine() {
        failures++
        attributedFailures++
    }

    /** A task of [job], which has neither succeeded nor become suspect, has failed here. */
    fun failedForUnknownCause(job: String) {
        failures++
        if (suspects.add(job)) suspectJobs++
    }

    /** Attributes the [times] failures of [job] here to the machine, unless the machine has succeeded since. */
    fun attributeToMachine(
        job: String,
        times: Int,
    ) {
        if (removeSuspect(job)) attributedFailures += times
    }

    /** Attributes the [times] failures of [job] here to the job; ends the quarantine if nothing else speaks for it. */
    fun attributeToJob(
        job: String,
        times: Int,
        nowMs: Long,
    ) {
        if (!removeSuspect(job)) return
        failures = maxOf(0, failures - times)
        if (suspectJobs == 0 && attributedFailures == 0) quarantinedUntilMs = nowMs
    }

    private fun removeSuspect(job: String): Boolean {
        val removed = suspects.remove(job)
        if (removed) suspectJobs--
        return removed
    }

    /** Plans no new tasks here before [untilMs], as the machine fails them. */
    fun quarantineUntil(untilMs: Long) {
        quarantinedUntilMs = untilMs
    }

    /** Plans no new tasks here before [untilMs], nor before the end of an earlier backoff. */
    fun backOffUntil(untilMs: Long) {
        backoffUntilMs = maxOf(backoffUntilMs, untilMs)
    }
}
