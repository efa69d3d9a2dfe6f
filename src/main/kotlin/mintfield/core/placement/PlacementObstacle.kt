package mintfield.core.placement

/** A reason for which a scheduling round passes over a machine for the tasks of a job. */
internal enum class PlacementObstacle(
    /** How the obstacle is stated in the log, after a number of machines. */
    val description: String,
) {
    /** The machine does not accept tasks from any job at present. */
    CLOSED("not accepting tasks"),

    /** The job excludes the machine's type, or spot machines. */
    INCOMPATIBLE("excluded by the job"),

    /** The zone is excluded by the job, or by where its other tasks are. */
    ZONE("in another zone"),

    /** The free resources do not suffice for a task. */
    FULL("full"),

    /** A task of the job has failed on the machine. */
    FAILED_BEFORE("avoided after a failure"),

    /** The free CPUs are reserved for new replicas of services. */
    REPLICA_RESERVE("reserved for replicas"),

    /** The machine is reserved for a gang. */
    GANG_RESERVE("reserved for a gang"),
}
