package mintfield.io.worker

import mintfield.io.json.Json

/** Encoder of the response that redirects a worker to another controller. */
object WorkerRedirectCodec {
    private const val CONTROLLER = "steward"

    /** Encodes a redirect to the controller [to] or, if it is null, to the next controller in the worker's list. */
    fun encode(to: String?): ByteArray = Json.obj { to?.let { writeStringField(CONTROLLER, it) } }
}
