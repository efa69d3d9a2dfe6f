package mintfield.core.leadership

/** Consecutive entries of the [CancellationLog] of the process [incarnation]: [ids] from number [from] on, of [total] entries ever made. */
data class CancellationPage(
    val incarnation: Long,
    val from: Long,
    val ids: List<String>,
    val total: Long,
)
