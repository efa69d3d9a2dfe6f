package mintfield.core.ownership

/** Why the operators' sharding settings do not fit the platform's: the field at [path] as it is written in the file, and the [reason]. */
data class ShardingSettingsProblem(
    val path: String,
    val reason: String,
) {
    /** Both, as they are printed. */
    val message: String get() = "$path: $reason"
}
