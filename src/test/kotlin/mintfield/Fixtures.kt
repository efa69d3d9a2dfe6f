package mintfield

import mintfield.core.model.AcceptedJob
import mintfield.core.model.ExitReason
import mintfield.core.model.Heartbeat
import mintfield.core.model.JobSpec
import mintfield.core.model.MachineType
import mintfield.core.model.Objective
import mintfield.core.model.Priority
import mintfield.core.model.Settings
import mintfield.core.model.Shape
import mintfield.core.model.TaskId
import mintfield.core.model.TaskState
import mintfield.core.model.TaskStatus
import mintfield.core.model.Team

/** Settings, jobs and heartbeats for tests. */
object Fixtures {
    /** A machine type available in both zones. */
    val box =
        MachineType(
            name = "box",
            cpus = 4.0,
            gpus = 0.0,
            memoryGb = 16.0,
            cacheGb = 50.0,
            fetchGbPerS = 0.1,
            price = 0.2,
            spotPrice = 0.06,
            bootS = 25.0,
            zones = listOf("north", "south"),
        )

    /** Two zones and two teams: `floor` without a quota ceiling, and `small` with one of 6 CPUs. */
    val settings =
        Settings(
            member = "plot-0",
            zone = "north",
            clientListen = "127.0.0.1:1",
            internalAddress = "127.0.0.1:1",
            peers = emptyList(),
            cloudAddress = "127.0.0.1:1",
            stateAddress = "127.0.0.1:1",
            zones = listOf("north", "south"),
            teams = listOf(Team("floor", 0.0, 0.0, 0.0, 0.0), Team("small", 2.0, 6.0, 0.0, 0.0)),
            objectives = listOf(Objective("deadline", "slice", null, 0.9, 1.0)),
            heartbeatIntervalS = 1.0,
            leaseS = 10.0,
            cancelS = 40.0,
            stateRps = 60.0,
            stateWriteRps = 20.0,
            valueKb = 8.0,
            txnOps = 16,
            cloudRps = 4.0,
            listLagS = 5.0,
            maxSockets = 600,
        )

    /** A job; by default an array of one task. */
    fun spec(
        id: String,
        tasks: Int = 1,
        shape: Shape = Shape.ARRAY,
        priority: Priority = Priority.NORMAL,
        team: String = "floor",
        cpus: Double = 1.0,
        spot: Boolean = true,
        image: String = "img-1",
        zone: String? = null,
        oneZone: Boolean = false,
        spread: Boolean = false,
        estimateS: Double = 20.0,
        deadlineS: Double? = null,
    ) = JobSpec(
        id = id,
        jobClass = "slice",
        team = team,
        shape = shape,
        priority = priority,
        tasks = tasks,
        cpus = cpus,
        gpus = 0.0,
        memoryGb = 1.0,
        image = image,
        imageGb = 1.0,
        types = null,
        zone = zone,
        oneZone = oneZone,
        spread = spread,
        spot = spot,
        estimateS = estimateS,
        checkpointS = 0.0,
        saveS = 0.0,
        deadlineS = deadlineS,
    )

    /** The record of [spec], accepted at [atMs] and last changed at [revision]. */
    fun accepted(
        spec: JobSpec,
        revision: Long,
        atMs: Long = 0,
        cancelled: Boolean = false,
    ) = AcceptedJob(spec, revision, atMs, cancelled, listOf("box"))

    /** A heartbeat of [machine] that reports [tasks]. */
    fun heartbeat(
        machine: String,
        sequence: Long,
        term: Long,
        vararg tasks: TaskStatus,
        incarnation: Long = 1,
        zone: String = "north",
        spot: Boolean = false,
        notice: Double? = null,
    ) = Heartbeat(machine, "10.1.0.1:9000", "box", zone, spot, incarnation, sequence, term, notice, tasks.toList())

    /** The status of the task [name], such as `wk-1/0`. */
    fun task(
        name: String,
        attempt: Long,
        state: TaskState,
        cause: ExitReason? = null,
    ) = TaskStatus(TaskId.parse(name)!!, attempt, state, cause)
}
