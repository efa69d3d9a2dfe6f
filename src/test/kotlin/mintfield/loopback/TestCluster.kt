package mintfield.loopback

import mintfield.Fixtures
import mintfield.app.Controller
import mintfield.core.model.Peer
import mintfield.core.model.Settings
import mintfield.io.http.HttpResult
import java.net.InetSocketAddress

/** Real controllers in this process, connected over loopback to the store, cloud and workers of [LoopbackServices]. */
class TestCluster {
    val services = LoopbackServices()
    val faults = FaultyStore(services.loop, services.store)

    /** All controllers in the order of their starts, including stopped ones. */
    val controllers = ArrayList<TestController>()

    /** Starts the services with [machines] workers; controllers are started separately. */
    fun start(machines: Int) = services.start(machines)

    /** Starts the services with workers whose tasks run for [taskMs] or slightly longer. */
    fun start(
        machines: Int,
        taskMs: Long,
    ) = services.start(machines, taskMs)

    /** Stops all controllers and services. */
    fun stop() {
        controllers.forEach { it.stop() }
        services.loop.stop()
    }

    /** Starts a controller without peers, whose settings are passed through [configure]. If [wait] is set, returns when it is ready. */
    fun startController(
        member: String,
        wait: Boolean = true,
        configure: (Settings) -> Settings = { it },
    ): TestController {
        val controller = start(configure(settings(member)))
        if (wait) awaitReady(controller)
        services.controllers = services.controllers + controller.address
        return controller
    }

    /** Starts controllers that are peers of each other; returns when all are ready. */
    fun startPeers(
        vararg members: String,
        configure: (Settings) -> Settings = { it },
    ): List<TestController> {
        val withoutPeers = members.map { configure(settings(it)) }
        val started =
            withoutPeers.map { own ->
                start(own.copy(peers = withoutPeers.filter { it !== own }.map { Peer(it.member, it.zone, it.internalAddress) }))
            }
        started.forEach(::awaitReady)
        services.addressesByName = started.associate { it.member to it.address }
        services.controllers = started.map { it.address }
        return started
    }

    /** Stops [controller] and starts a new one with the same settings as soon as its ports are free. */
    fun restart(controller: TestController): TestController {
        controller.stop()
        // Workers and peers expect the new controller at the same addresses, whose ports the old one may still hold briefly.
        val settings = controller.settings
        await("the ports of ${controller.member} are free") { listOf(settings.clientListen, settings.internalAddress).all { Ports.isFree(portOf(it)) } }
        return start(settings)
    }

    /** Sends a request to the controller at [address]; null if there is no response. */
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

    /** Waits until [controller] reports that it is ready. */
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
