package mintfield.core.constants

/** Ratios of the units of time that settings (seconds) and clocks (milliseconds) use. */
object TimeUnits {
    /** Milliseconds in a second. */
    const val MS_PER_SECOND = 1_000L
}
