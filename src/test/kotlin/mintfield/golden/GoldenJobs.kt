package mintfield.golden

import mintfield.core.model.AcceptedJob
import mintfield.core.model.JobSpec
import mintfield.core.model.Priority
import mintfield.core.model.Shape

/** Jobs whose encodings are pinned by golden files. */
object GoldenJobs {
    /** Has all optional fields. */
    val complete =
        JobSpec(
            id = "ab-000412",
            jobClass = "grind",
            team = "millers",
            shape = Shape.GANG,
            priority = Priority.PRODUCTION,
            tasks = 400,
            cpus = 2.5,
            gpus = 1.0,
            memoryGb = 12.25,
            image = "flour-é:7",
            imageGb = 0.125,
            types = listOf("box", "barrel"),
            zone = "north",
            oneZone = true,
            spread = true,
            spot = false,
            estimateS = 30.0,
            checkpointS = 5.5,
            saveS = 1.0,
            deadlineS = 90.5,
        )

    /** Has no optional fields. */
    val sparse =
        complete.copy(
            id = "c-7",
            shape = Shape.ARRAY,
            priority = Priority.IDLE,
            tasks = 1,
            types = null,
            zone = null,
            oneZone = false,
            deadlineS = null,
        )

    /** Its predecessors differ in prefix and number of digits, and one number exceeds the range of Long. */
    val dependent = complete.copy(id = "ab-000500", shape = Shape.SERVICE, predecessors = listOf("ab-000398", "ab-000405", "ab-1", "zz-000036", ID_BEYOND_LONG))

    fun accepted(
        spec: JobSpec,
        cancelled: Boolean = false,
        compatibleTypes: List<String> = listOf("box", "barrel"),
    ) = AcceptedJob(spec, REVISION, 1_700_000_000_123, cancelled, compatibleTypes)

    const val REVISION = 77L
    private const val ID_BEYOND_LONG = "ab-1234567890123456789012"
}
