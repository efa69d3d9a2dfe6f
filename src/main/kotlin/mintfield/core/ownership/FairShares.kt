package mintfield.core.ownership

/**
 * Divides CPUs among shards by their weights with max-min fairness (weighted progressive filling; Bertsekas and Gallager, "Data Networks",
 * section 6.5.2): no shard gets more than it wants, and the others divide what it leaves.
 */
object FairShares {
    /** What a shard claims. */
    class Claim(
        val weight: Double,
        val wantedCpus: Double,
    )

    /** The CPUs due to each shard of [claims], out of [totalCpus]. */
    fun divide(
        totalCpus: Double,
        claims: Map<String, Claim>,
    ): Map<String, Double> {
        val due = HashMap<String, Double>()
        val unsettled = LinkedHashMap(claims)
        var remainingCpus = totalCpus
        while (unsettled.isNotEmpty()) {
            val perWeight = remainingCpus / unsettled.values.sumOf { it.weight }
            val satisfied = unsettled.filterValues { it.wantedCpus <= perWeight * it.weight }
            if (satisfied.isEmpty()) {
                unsettled.mapValuesTo(due) { perWeight * it.value.weight }
                break
            }
            satisfied.mapValuesTo(due) { it.value.wantedCpus }
            remainingCpus -= satisfied.values.sumOf { it.wantedCpus }
            unsettled.keys.removeAll(satisfied.keys)
        }
        return due
    }
}
