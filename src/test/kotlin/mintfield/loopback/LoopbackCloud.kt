package mintfield.loopback

import mintfield.io.http.HttpMessage
import mintfield.io.http.Response

/** Cloud API with one machine type that lists [workers] as its machines and refuses to provision more. */
internal class LoopbackCloud(
    private val workers: List<LoopbackWorker>,
) {
    /** Responds to one request. Called on the loop. */
    fun handle(request: HttpMessage): Response {
        val path = request.path.substringBefore('?')
        return when {
            path == "/machine_types" -> json(MACHINE_TYPES)
            path == "/rentals" && request.method == "GET" -> json(machines())
            path == "/rentals" -> Response.error(NO_CAPACITY, "no capacity")
            else -> json("{}")
        }
    }

    private fun machines(): String {
        val listed =
            workers.filter { it.sim.alive }.joinToString(",") {
                """{"id":"${it.sim.id}","address":"127.0.0.1:${it.port}","breed":"box","field":"north","gleaning":false,"stage":"running","heldS":99}"""
            }
        return """{"plots":[$listed],"hasNext":false}"""
    }

    private fun json(body: String) = Response(OK, body.toByteArray())

    private companion object {
        const val OK = 200
        const val NO_CAPACITY = 503
        const val MACHINE_TYPES =
            """{"breeds":[{"sku":"box","vcpus":4,"cards":0,"memoryGb":16,"cacheGb":50,"fetchGbPerS":1,"price":1,"lowPrice":0.5,
                       "bootS":1,"fields":["north"]}]}"""
    }
}
