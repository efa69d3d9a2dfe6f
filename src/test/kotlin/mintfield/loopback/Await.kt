package mintfield.loopback

private const val MAX_POLLS = 600
private const val POLL_INTERVAL_MS = 100L

/**
 * Polls [condition] every 100 ms until it holds; fails after one minute. The time that it takes is not checked. [description] states
 * the condition in the error message.
 */
fun await(
    description: String,
    condition: () -> Boolean,
) {
    repeat(MAX_POLLS) {
        if (condition()) return
        Thread.sleep(POLL_INTERVAL_MS)
    }
    throw AssertionError("condition not met within one minute: $description")
}
