package mintfield.standin

import mintfield.Fixtures
import mintfield.app.Node
import mintfield.core.model.Settings
import mintfield.core.model.Sibling
import mintfield.io.http.Reply
import java.net.InetSocketAddress
import java.net.ServerSocket

/** A real controller of a [TestCluster]. */
class TestNode(
    val member: String,
    val address: InetSocketAddress,
    val settings: Settings,
    private val node: Node,
) {
    /** Ends it at once, as a kill would. */
    fun stop() = node.stop()

    /** Makes it stand still for [forMs] while its clock runs on; it goes on with what it had begun. */
    fun standStill(forMs: Long) = node.runOnLoop { Thread.sleep(forMs) }
}

/** Real controllers in this process, over loopback, with stand-ins for everything outside them. */
class TestCluster {
    val standIns = StandIns()
    val faults = FaultyStateService(standIns.loop, standIns.store)
    val nodes = ArrayList<TestNode>()

    fun start(machines: Int) = standIns.start(machines)

    fun start(
        machines: Int,
        taskMs: Long,
    ) = standIns.start(machines, taskMs)

    fun stop() {
        nodes.forEach { it.stop() }
        standIns.loop.stop()
    }

    /** Starts a controller that knows no others; with [wait] it returns once the controller is ready. */
    fun startNode(
        member: String,
        wait: Boolean = true,
    ): TestNode {
        val node = start(settings(member))
        if (wait) awaitReady(node)
        standIns.nodes = standIns.nodes + node.address
        return node
    }

    /** Starts controllers that are each other's siblings, and returns once all are ready. */
    fun startSiblings(vararg members: String): List<TestNode> {
        val alone = members.map { settings(it) }
        val started = alone.map { one -> start(one.copy(siblings = alone.filter { it !== one }.map { Sibling(it.member, it.zone, it.internalAddress) })) }
        started.forEach(::awaitReady)
        standIns.nodes = started.map { it.address }
        return started
    }

    /** Ends [node] and starts another process of the same member in its place, at once. */
    fun restart(node: TestNode): TestNode {
        node.stop()
        // Its ports may still be in use by the old one; the workers and siblings know the new one by the same addresses.
        Thread.sleep(PORT_RELEASE_MS)
        return start(node.settings)
    }

    fun ask(
        node: InetSocketAddress,
        method: String,
        path: String,
        body: String? = null,
    ): Reply.Answer? = standIns.call(node, method, path, body) as? Reply.Answer

    private fun start(settings: Settings): TestNode {
        val node = Node(settings)
        val port = settings.clientListen.substringAfterLast(':').toInt()
        Thread({ node.run() }, settings.member).also { it.isDaemon = true }.start()
        return TestNode(settings.member, InetSocketAddress(LOOPBACK, port), settings, node).also { nodes.add(it) }
    }

    fun awaitReady(node: TestNode) = await("${node.member} is ready") { ask(node.address, "GET", "/ready")?.status == 200 }

    private fun settings(member: String): Settings =
        Fixtures.settings.copy(
            member = member,
            clientListen = "$LOOPBACK:${freePort()}",
            internalAddress = "$LOOPBACK:${freePort()}",
            cloudAddress = "$LOOPBACK:${standIns.cloudPort}",
            stateAddress = "$LOOPBACK:${standIns.serveState { faults.handle(member, it) }}",
            stateRps = 1000.0,
            stateWriteRps = 500.0,
            cloudRps = 100.0,
        )

    private fun freePort() = ServerSocket(0).use { it.localPort }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val PORT_RELEASE_MS = 50L
    }
}

/** Waits for what must come; how long it takes is not judged, only that it comes. */
fun await(
    what: String,
    condition: () -> Boolean,
) {
    repeat(AWAIT_STEPS) {
        if (condition()) return
        Thread.sleep(AWAIT_STEP_MS)
    }
    throw AssertionError("in a minute it did not come about that $what")
}

private const val AWAIT_STEPS = 600
private const val AWAIT_STEP_MS = 100L
