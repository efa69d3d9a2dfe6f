package mintfield.loopback

import mintfield.app.Controller
import mintfield.core.model.Settings
import java.net.InetSocketAddress

/** A real controller of a [TestCluster], in this process. */
class TestController(
    val member: String,
    /** Where it serves users and workers. */
    val address: InetSocketAddress,
    val settings: Settings,
    private val controller: Controller,
) {
    /** Ends it at once, as a kill would. */
    fun stop() = controller.stop()

    /** Blocks its event loop for [forMs] milliseconds while its clock runs on; it then goes on with what it had begun. */
    fun freeze(forMs: Long) = controller.runOnLoop { Thread.sleep(forMs) }
}
