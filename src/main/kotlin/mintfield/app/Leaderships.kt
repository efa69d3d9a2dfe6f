package mintfield.app

import mintfield.app.sharing.SharingNode
import mintfield.io.worker.WorkerCodec

/** This node's parts in the leaderships that there are: the only one, or one for each share of the machines. */
class Leaderships(
    val members: List<Member>,
    private val sharing: SharingNode?,
) {
    /** The leaders that this node runs. */
    val leaders: List<Leader> get() = members.mapNotNull { it.leader }

    /** Whether it is known of any leadership who holds it. */
    val anyKnown: Boolean get() = members.any { it.known != null }

    fun member(share: String): Member? = members.firstOrNull { it.share?.name == share }

    /** Who leads [share], as far as is known here. */
    fun leaderOf(share: String): String? = member(share)?.known

    /** The leadership that a worker's report concerns; null if the machine has no owner. */
    fun forReport(body: ByteArray): Member? {
        if (sharing == null) return members.single()
        val machine = WorkerCodec.report(body)?.machine ?: return null
        return sharing.shareFor(machine)?.let(::member)
    }

    /** The terms that this node leads with, by share; the name of the only leadership is empty. */
    fun terms(): Map<String, Long> = members.mapNotNull { m -> m.leader?.let { (m.share?.name ?: ONLY) to it.scheduler.cluster.term } }.toMap()

    /** The sibling [member] leads with [term], the share or the only leadership. */
    fun siblingLeads(
        member: String,
        share: String,
        term: Long,
    ) {
        members.firstOrNull { (it.share?.name ?: ONLY) == share }?.siblingLeads(member, term)
    }

    companion object {
        /** Stands for the share where there is only one leadership. */
        const val ONLY = ""
    }
}
