package mintfield.core.leadership

/** Consecutive entries of the [CancellationLog] of the process [incarnation]: [ids] starting at number [from], of [total] entries ever appended. */
data class CancellationPage(
    val incarnation: Long,
    val from: Long,
    val ids: List<String>,
    val total: Long,
)
