package mintfield.core.fleet

/** Failures of tasks on one machine since its last success, and the resulting backoff and quarantine. Times are in milliseconds of monotonic time. */
class FailureRecord {
    private val suspectJobIds = HashSet<String>()

    /** Failures since the last success, without those attributed to their jobs. */
    var failures = 0
        private set

    /** Number of [failures] attributed to the machine, because their jobs succeed on other machines. */
    var attributedFailures = 0
        private set

    /** Time before which no new tasks are planned here, because the machine refused tasks or its responses were lost. */
    var backoffUntilMs = 0L
        private set

    /** Time before which no new tasks are planned here, because tasks fail on the machine. */
    var quarantinedUntilMs = 0L
        private set

    /**
     * Number of jobs with [failures] here of which it is unknown whether they can succeed anywhere. Kept as a field because each tick reads it
     * for each machine.
     */
    var suspectJobs = 0
        private set

    /** Records that a task has succeeded here, which resets the failure counts. */
    fun recordSuccess() {
        failures = 0
        attributedFailures = 0
        suspectJobIds.clear()
        suspectJobs = 0
    }

    /** Records a failure of a task whose job is known to succeed; it is attributed to the machine. */
    fun recordMachineFailure() {
        failures++
        attributedFailures++
    }

    /** Records a failure of a task of [job], which has neither succeeded nor become suspect; the cause is unknown. */
    fun recordUnattributedFailure(job: String) {
        failures++
        if (suspectJobIds.add(job)) suspectJobs++
    }

    /** Attributes the [times] failures of [job] here to the machine, unless the machine has succeeded since. */
    fun attributeToMachine(
        job: String,
        times: Int,
    ) {
        if (removeSuspect(job)) attributedFailures += times
    }

    /** Attributes the [times] failures of [job] here to the job; ends the quarantine if no suspect job or attributed failure remains. */
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
        val removed = suspectJobIds.remove(job)
        if (removed) suspectJobs--
        return removed
    }

    /** Quarantines the machine until [untilMs], because tasks fail on it: no new tasks are planned here. */
    fun quarantineUntil(untilMs: Long) {
        quarantinedUntilMs = untilMs
    }

    /** Plans no new tasks here before [untilMs] or the end of an earlier backoff, whichever is later. */
    fun backOffUntil(untilMs: Long) {
        backoffUntilMs = maxOf(backoffUntilMs, untilMs)
    }
}
