package mintfield.core.model

/** A machine type of the cloud. */
data class MachineType(
    val name: String,
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    /** Space for images on a machine, in GB. */
    val cacheGb: Double,
    /** Rate at which a machine fetches images, in GB per second; images that are fetched at the same time may share it. */
    val fetchGbPerS: Double,
    /** Price of an on-demand machine per hour. */
    val price: Double,
    /** Current price of a spot machine per hour. */
    val spotPrice: Double,
    /** The usual time from the request for a machine until it is ready, in seconds. */
    val bootS: Double,
    /** The zones that offer this type. */
    val zones: List<String>,
)

/** The names of the machine types that [spec] permits and of which an empty machine has capacity for one of its tasks. */
fun compatibleMachineTypes(
    spec: JobSpec,
    types: Collection<MachineType>,
): List<String> = types.filter { permits(spec, it) && hasCapacityFor(it, spec) }.map { it.name }

private fun permits(
    spec: JobSpec,
    type: MachineType,
) = (spec.types == null || type.name in spec.types) && (spec.zone == null || spec.zone in type.zones)

private fun hasCapacityFor(
    type: MachineType,
    spec: JobSpec,
) = spec.cpus <= type.cpus && spec.gpus <= type.gpus && spec.memoryGb <= type.memoryGb
