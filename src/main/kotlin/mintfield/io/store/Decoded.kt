package mintfield.io.store

/** The result of decoding a stored record. Records come from other versions of the program as well, so a failure is an expected case. */
sealed interface Decoded<out T> {
    /** The decoded value; null if the record is invalid. */
    val valueOrNull: T?

    /** The record is valid. */
    data class Valid<T>(
        val value: T,
    ) : Decoded<T> {
        override val valueOrNull: T get() = value
    }

    /** The record is invalid: [field] is the stored name of the first invalid field, [problem] describes the fault. */
    data class Invalid(
        val field: String,
        val problem: String,
    ) : Decoded<Nothing> {
        override val valueOrNull: Nothing? get() = null
    }
}

/** Thrown at the first invalid field of a record. It has no stack trace, since it is always caught within this package. */
internal class InvalidFieldException(
    val field: String,
    val problem: String,
) : IllegalArgumentException("$field: $problem") {
    override fun fillInStackTrace(): Throwable = this
}

/** Runs [read] and turns an [InvalidFieldException] into [Decoded.Invalid]. Other exceptions propagate. */
internal inline fun <T> decoding(read: () -> T): Decoded<T> =
    try {
        Decoded.Valid(read())
    } catch (invalid: InvalidFieldException) {
        Decoded.Invalid(invalid.field, invalid.problem)
    }

/** The value of this result. Throws [InvalidFieldException] if there is none, for use within an enclosing [decoding]. */
internal fun <T> Decoded<T>.valueOrThrow(): T =
    when (this) {
        is Decoded.Valid -> value
        is Decoded.Invalid -> throw InvalidFieldException(field, problem)
    }

/** This value if it is not null. Otherwise throws [InvalidFieldException], which names [field] and the [expected] value. */
internal fun <T : Any> T?.orInvalid(
    field: String,
    expected: String,
): T = this ?: throw InvalidFieldException(field, "expected $expected")
