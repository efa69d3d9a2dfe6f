package mintfield.core.upgrade

/** Compatibility generations of the controller. The number rises with each feature that all controllers must support before any may use it. */
object Generation {
    /** The generation of the first released record and message formats. */
    const val FIRST = 1

    /** Support for jobs that depend on other jobs. */
    const val DEPENDENCIES = 2

    /** The generation that this version of the controller runs. */
    const val CURRENT = DEPENDENCIES
}
