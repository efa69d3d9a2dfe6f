package mintfield.core.steps

/** A step of a workflow, a node of a [StepGraph]. */
data class Step(
    val name: String,
    /** Whether it has external effects, so that it must not be repeated with a different result. */
    val writes: Boolean,
    /** The names of the steps that use its output. */
    val feeds: List<String>,
)
