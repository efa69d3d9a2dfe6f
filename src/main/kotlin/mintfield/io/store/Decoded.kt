package mintfield.io.store

/** The result of decoding a stored record. Records come from other versions of the program as well, so a failure is an expected case. */
sealed interface Decoded<out T> {
    /** The decoded value; null if the record is invalid. */
    val valueOrNull: T?

    /** The record was understood. */
    data class Valid<T>(
        val value: T,
    ) : Decoded<T> {
        override val valueOrNull: T get() = value
    }

    /** The record cannot be understood: [field] names the first wrong field by its stored name, [problem] what is wrong with it. */
    data class Invalid(
        val field: String,
        val problem: String,
    ) : Decoded<Nothing> {
        override val valueOrNull: Nothing? get() = null
    }
}

/** Ends the decoding of a record at its first wrong field. It carries no stack trace, as it never leaves this package. */
internal class InvalidField(
    val field: String,
    val problem: String,
) : IllegalArgumentException("$field: $problem") {
    override fun fillInStackTrace(): Throwable = this
}

/** Runs [read] and turns an [InvalidField] into [Decoded.Invalid]. Other exceptions pass. */
internal inline fun <T> decoding(read: () -> T): Decoded<T> =
    try {
        Decoded.Valid(read())
    } catch (invalid: InvalidField) {
        Decoded.Invalid(invalid.field, invalid.problem)
    }

/** The value of this result, within an enclosing [decoding]. Throws [InvalidField] if there is none. */
internal fun <T> Decoded<T>.valueOrThrow(): T =
    when (this) {
        is Decoded.Valid -> value
        is Decoded.Invalid -> throw InvalidField(field, problem)
    }

/** This value, or an [InvalidField] that names [field] and what was expected of it. */
internal fun <T : Any> T?.orInvalid(
    field: String,
    expected: String,
): T = this ?: throw InvalidField(field, "expected $expected")
