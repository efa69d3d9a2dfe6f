package mintfield.core.steps

/** A step of a workflow. */
data class Step(
    val name: String,
    /** Whether it changes anything outside, so that it must not be repeated with another result. */
    val writes: Boolean,
    /** The names of the steps that use its output. */
    val feeds: List<String>,
)
