package mintfield.core.ownership

/** A conflict of the operators' sharding settings with the platform's: the [path] of the field in the settings file and the [reason]. */
data class ShardingSettingsProblem(
    val path: String,
    val reason: String,
) {
    /** The path and the reason, as printed for operators. */
    val message: String get() = "$path: $reason"
}
