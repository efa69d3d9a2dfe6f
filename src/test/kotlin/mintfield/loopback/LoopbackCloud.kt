package mintfield.loopback

import mintfield.io.http.HttpMessage
import mintfield.io.http.Response
import mintfield.io.json.Json
import mintfield.io.json.asList
import mintfield.io.json.long
import mintfield.io.json.string

/** Cloud API with one machine type that lists [workers] as its machines, and deletes and provisions them. */
internal class LoopbackCloud(
    private val workers: List<LoopbackWorker>,
    /** Adds a worker and returns its name; null if there is no capacity. */
    private val addWorker: () -> String?,
) {
    /** Names of the machines provisioned for each idempotency key. */
    private val provisioned = HashMap<String, List<String>>()

    /** Responds to one request. Called on the loop. */
    fun handle(request: HttpMessage): Response {
        val path = request.path.substringBefore('?')
        return when {
            path == "/machine_types" -> json(MACHINE_TYPES)
            path == "/rentals" && request.method == "GET" -> json(machines())
            path == "/rentals" -> provision(Json.parseObject(request.body)!!)
            path == "/rentals/delete" -> delete(Json.parseObject(request.body)!!)
            else -> json("{}")
        }
    }

    private fun provision(request: Map<String, Any?>): Response {
        val key = request.string("plea")!!
        val names = provisioned[key] ?: (1..request.long("number")!!).mapNotNull { addWorker() }
        if (names.isEmpty()) return Response.error(NO_CAPACITY, "no capacity")
        provisioned[key] = names
        return json("""{"plots":[${names.joinToString(",") { "\"$it\"" }}]}""")
    }

    private fun delete(request: Map<String, Any?>): Response {
        val names = request["plots"].asList().orEmpty()
        workers.filter { it.sim.id in names }.forEach { it.sim.alive = false }
        return json("{}")
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
