package mintfield.core.upgrade

/** Generations of the program: the number rises with each ability that all controllers must have before any of them may use it. */
object Generation {
    /** The first released records and messages. */
    const val FIRST = 1

    /** Jobs may depend on other jobs. */
    const val DEPENDENCIES = 2

    /** The generation of this program. */
    const val CURRENT = DEPENDENCIES
}
