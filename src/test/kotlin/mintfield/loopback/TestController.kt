package mintfield.loopback

import mintfield.app.Controller
import mintfield.core.model.Settings
import java.net.InetSocketAddress

/** Real controller of a [TestCluster], in this process. */
class TestController(
    val member: String,
    /** Address at which it serves users and workers. */
    val address: InetSocketAddress,
    val settings: Settings,
    private val controller: Controller,
) {
    /** Stops it immediately, as a killed process would stop. */
    fun stop() = controller.stop()

    /** Blocks its event loop for [forMs] while its clock advances; pending work then continues. */
    fun freeze(forMs: Long) = controller.runOnLoop { Thread.sleep(forMs) }
}
