package mintfield.core.ownership

/** Divides CPUs among shares by their weights (max-min fairness): none gets more than it wants, and the others divide what it leaves. */
object FairShares {
    /** What a share claims. */
    class Claim(
        val weight: Double,
        val wantedCpus: Double,
    )

    /** The CPUs due to each share of [claims], out of [totalCpus]. */
    fun divide(
        totalCpus: Double,
        claims: Map<String, Claim>,
    ): Map<String, Double> {
        val due = HashMap<String, Double>()
        val open = LinkedHashMap(claims)
        var left = totalCpus
        while (open.isNotEmpty()) {
            val perWeight = left / open.values.sumOf { it.weight }
            val content = open.filterValues { it.wantedCpus <= perWeight * it.weight }
            if (content.isEmpty()) {
                open.mapValuesTo(due) { perWeight * it.value.weight }
                break
            }
            content.mapValuesTo(due) { it.value.wantedCpus }
            left -= content.values.sumOf { it.wantedCpus }
            open.keys.removeAll(content.keys)
        }
        return due
    }
}
