package mintfield.loopback

import mintfield.Fixtures
import mintfield.app.Controller
import mintfield.core.model.Peer
import mintfield.core.model.Settings
import mintfield.io.http.HttpResult
import java.net.InetSocketAddress

/** Real controllers in this process, over loopback, with [LoopbackServices] for everything outside them. */
class TestCluster {
    val services = LoopbackServices()
    val faults = FaultyStore(services.loop, services.store)

    /** All that were ever started, in order; stopped ones too. */
    val controllers = ArrayList<TestController>()

    /** Starts the services with workers on [machines] machines; controllers are started apart. */
    fun start(machines: Int) = services.start(machines)

    /** Starts the services with workers whose tasks run for [taskMs] milliseconds or a little more. */
    fun start(
        machines: Int,
        taskMs: Long,
    ) = services.start(machines, taskMs)

    /** Stops all controllers and services. */
    fun stop() {
        controllers.forEach { it.stop() }
        services.loop.stop()
    }

    /** Starts a controller without peers, with settings that [change] may alter; with [wait] it returns once the controller is ready. */
    fun startController(
        member: String,
        wait: Boolean = true,
        change: (Settings) -> Settings = { it },
    ): TestController {
        val controller = start(change(settings(member)))
        if (wait) awaitReady(controller)
        services.controllers = services.controllers + controller.address
        return controller
    }

    /** Starts controllers that are peers of each other, and returns once all are ready. */
    fun startPeers(
        vararg members: String,
        change: (Settings) -> Settings = { it },
    ): List<TestController> {
        val alone = members.map { change(settings(it)) }
        val started = alone.map { own -> start(own.copy(peers = alone.filter { it !== own }.map { Peer(it.member, it.zone, it.internalAddress) })) }
        started.forEach(::awaitReady)
        services.addressesByName = started.associate { it.member to it.address }
        services.controllers = started.map { it.address }
        return started
    }

    /** Stops [controller] and starts another one of the same name in its place, at once. */
    fun restart(controller: TestController): TestController {
        controller.stop()
        // The workers and peers know the new one by the same addresses, which the old one may still hold for a moment.
        val settings = controller.settings
        await("${controller.member} has let its ports go") { listOf(settings.clientListen, settings.internalAddress).all { Ports.isFree(portOf(it)) } }
        return start(settings)
    }

    /** Sends a request to the controller at [address]; null if there is no answer. */
    fun ask(
        address: InetSocketAddress,
        method: String,
        path: String,
        body: String? = null,
    ): HttpResult.Received? = services.client.call(address, method, path, body) as? HttpResult.Received

    private fun start(settings: Settings): TestController {
        val controller = Controller(settings)
        Thread({ controller.run() }, settings.member).also { it.isDaemon = true }.start()
        val address = InetSocketAddress(LOOPBACK, portOf(settings.clientListen))
        return TestController(settings.member, address, settings, controller).also { controllers.add(it) }
    }

    /** Waits until [controller] says that it is ready. */
    fun awaitReady(controller: TestController) = await("${controller.member} is ready") { ask(controller.address, "GET", "/ready")?.status == 200 }

    private fun settings(member: String): Settings =
        Fixtures.settings.copy(
            member = member,
            clientListen = "$LOOPBACK:${Ports.next()}",
            internalAddress = "$LOOPBACK:${Ports.next()}",
            cloudAddress = "$LOOPBACK:${services.cloudPort}",
            stateAddress = "$LOOPBACK:${services.serveStore { faults.handle(member, it) }}",
            stateRps = 1000.0,
            stateWriteRps = 500.0,
            cloudRps = 100.0,
        )

    private fun portOf(address: String) = address.substringAfterLast(':').toInt()

    private companion object {
        const val LOOPBACK = "127.0.0.1"
    }
}
