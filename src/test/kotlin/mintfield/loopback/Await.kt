package mintfield.loopback

private const val STEPS = 600
private const val STEP_MS = 100L

/** Waits until [condition] holds, for a minute at the most; how long it takes is not judged. [what] names it when it fails. */
fun await(
    what: String,
    condition: () -> Boolean,
) {
    repeat(STEPS) {
        if (condition()) return
        Thread.sleep(STEP_MS)
    }
    throw AssertionError("in a minute it did not come about that $what")
}
