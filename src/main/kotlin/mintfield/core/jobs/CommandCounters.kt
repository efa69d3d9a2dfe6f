package mintfield.core.jobs

/** Numbers of commands to workers since the election, for the leader's periodic log line. Not thread-safe. */
class CommandCounters {
    private var directStarts = 0L
    private var unplannedTasks = 0L
    private var raisedTokens = 0L

    /** Counts [starts] sent in a direct call. */
    fun directStartsSent(starts: Int) {
        directStarts += starts
    }

    /** Counts [tasks] that a worker reports as active although they are not planned on its machine. */
    fun unplannedTasksReported(tasks: Int) {
        unplannedTasks += tasks
    }

    /** Counts a raise of the fencing token of one machine. */
    fun tokenRaised() {
        raisedTokens++
    }

    /** The numbers as a phrase for log lines. */
    fun describe() = "$directStarts direct starts, $raisedTokens raised tokens, $unplannedTasks unplanned tasks stopped"
}
