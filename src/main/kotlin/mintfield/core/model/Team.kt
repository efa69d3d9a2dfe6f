package mintfield.core.model

/** A team with its guaranteed quota and its quota ceiling. */
data class Team(
    val name: String,
    /** Guaranteed CPUs. */
    val cpus: Double,
    /** The most CPUs that its tasks may use at once; 0 if there is no ceiling. */
    val cpusMax: Double,
    /** Guaranteed GPUs. */
    val gpus: Double,
    /** The most GPUs that its tasks may use at once; 0 if there is no ceiling. */
    val gpusMax: Double,
)
