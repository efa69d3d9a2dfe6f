package mintfield.standin

import mintfield.Fixtures
import mintfield.app.Controller
import mintfield.core.model.Peer
import mintfield.core.model.Settings
import mintfield.io.http.Reply
import java.io.IOException
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/** A real controller of a [TestCluster]. */
class TestNode(
    val member: String,
    val address: InetSocketAddress,
    val settings: Settings,
    private val node: Controller,
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

    /** Starts a controller that knows no others, with settings that [change] may alter; with [wait] it returns once the controller is ready. */
    fun startNode(
        member: String,
        wait: Boolean = true,
        change: (Settings) -> Settings = { it },
    ): TestNode {
        val node = start(change(settings(member)))
        if (wait) awaitReady(node)
        standIns.nodes = standIns.nodes + node.address
        return node
    }

    /** Starts controllers that are each other's peers, and returns once all are ready. */
    fun startSiblings(
        vararg members: String,
        change: (Settings) -> Settings = { it },
    ): List<TestNode> {
        val alone = members.map { change(settings(it)) }
        val started = alone.map { one -> start(one.copy(peers = alone.filter { it !== one }.map { Peer(it.member, it.zone, it.internalAddress) })) }
        started.forEach(::awaitReady)
        standIns.members = started.associate { it.member to it.address }
        standIns.nodes = started.map { it.address }
        return started
    }

    /** Ends [node] and starts another process of the same member in its place, at once. */
    fun restart(node: TestNode): TestNode {
        node.stop()
        // The workers and peers know the new one by the same addresses, which the old one may still hold for a moment.
        await("${node.member} has let its ports go") { listOf(node.settings.clientListen, node.settings.internalAddress).all { Ports.isFree(portOf(it)) } }
        return start(node.settings)
    }

    fun ask(
        node: InetSocketAddress,
        method: String,
        path: String,
        body: String? = null,
    ): Reply.Answer? = standIns.call(node, method, path, body) as? Reply.Answer

    private fun start(settings: Settings): TestNode {
        val node = Controller(settings)
        Thread({ node.run() }, settings.member).also { it.isDaemon = true }.start()
        return TestNode(settings.member, InetSocketAddress(LOOPBACK, portOf(settings.clientListen)), settings, node).also { nodes.add(it) }
    }

    fun awaitReady(node: TestNode) = await("${node.member} is ready") { ask(node.address, "GET", "/ready")?.status == 200 }

    private fun settings(member: String): Settings =
        Fixtures.settings.copy(
            member = member,
            clientListen = "$LOOPBACK:${Ports.next()}",
            internalAddress = "$LOOPBACK:${Ports.next()}",
            cloudAddress = "$LOOPBACK:${standIns.cloudPort}",
            stateAddress = "$LOOPBACK:${standIns.serveState { faults.handle(member, it) }}",
            stateRps = 1000.0,
            stateWriteRps = 500.0,
            cloudRps = 100.0,
        )

    private fun portOf(address: String) = address.substringAfterLast(':').toInt()

    private companion object {
        const val LOOPBACK = "127.0.0.1"
    }
}

/**
 * Ports for controllers, below those that the system gives to outgoing connections: a port of these that was found free is at
 * times taken by a connection before the controller listens on it.
 */
internal object Ports {
    private const val FIRST = 20_000
    private const val COUNT = 10_000
    private val taken = AtomicInteger((ProcessHandle.current().pid() * 100 % COUNT).toInt())

    fun next(): Int {
        while (true) {
            val port = FIRST + taken.getAndIncrement() % COUNT
            if (isFree(port)) return port
        }
    }

    fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port).close()
            true
        } catch (_: IOException) {
            false
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
