package mintfield.core.ownership

/**
 * Divides CPUs among shards by their weights with max-min fairness (weighted progressive filling; Bertsekas and Gallager, "Data Networks",
 * section 6.5.2): no shard gets more than it requests, and the remaining CPUs are divided among the others.
 */
object FairShares {
    /** The weight of a shard and the CPUs that it requests. */
    class Claim(
        val weight: Double,
        val wantedCpus: Double,
    )

    /** The fair share in CPUs of each shard of [claims], out of [totalCpus]; empty without claims. */
    fun divide(
        totalCpus: Double,
        claims: Map<String, Claim>,
    ): Map<String, Double> {
        val due = HashMap<String, Double>()
        val unsatisfied = LinkedHashMap(claims)
        var remainingCpus = totalCpus
        while (unsatisfied.isNotEmpty()) {
            val perWeight = remainingCpus / unsatisfied.values.sumOf { it.weight }
            val satisfied = unsatisfied.filterValues { it.wantedCpus <= perWeight * it.weight }
            if (satisfied.isEmpty()) {
                unsatisfied.mapValuesTo(due) { perWeight * it.value.weight }
                break
            }
            satisfied.mapValuesTo(due) { it.value.wantedCpus }
            remainingCpus -= satisfied.values.sumOf { it.wantedCpus }
            unsatisfied.keys.removeAll(satisfied.keys)
        }
        return due
    }
}
