package mintfield.app.warmup

import mintfield.io.http.HttpMessage
import mintfield.io.http.HttpStatus
import mintfield.io.http.Response
import mintfield.io.json.Json
import mintfield.io.json.asList
import mintfield.io.json.asMap
import mintfield.io.json.long
import mintfield.io.json.string

/** A simulated worker that speaks the wire protocol. Its tasks end after a few heartbeats, so that jobs pass through all their phases. */
internal class WarmUpWorker {
    private class Task(
        val id: String,
        val attempt: Long,
    ) {
        var heartbeats = 0
    }

    private var sequence = 0L
    private var termSeen = 0L
    private val tasks = LinkedHashMap<String, Task>()

    /** Records the fencing token of [response] and carries out its commands. */
    fun execute(response: Map<String, Any?>) {
        termSeen = maxOf(termSeen, response.long("staff") ?: 0)
        for (command in response["orders"].asList().orEmpty().mapNotNull { it.asMap() }) {
            val id = command.string("piece") ?: continue
            if (command.string("verb") == "run") tasks[id] = Task(id, command.long("sowing") ?: 0) else tasks.remove(id)
        }
    }

    /** Handles commands that a controller sends to the worker; the response is a heartbeat. */
    fun handleCommands(request: HttpMessage): Response {
        execute(Json.parseObject(request.body).orEmpty())
        return Response(HttpStatus.OK, heartbeat(0))
    }

    /** Encodes the next heartbeat, which gives [port] as the port of the worker's address. */
    fun heartbeat(port: Int): ByteArray {
        sequence++
        return Json.obj {
            writeStringField("plot", MACHINE)
            writeStringField("address", "127.0.0.1:$port")
            writeStringField("breed", "box")
            writeStringField("field", "a")
            writeBooleanField("gleaning", false)
            writeNumberField("season", 1)
            writeNumberField("tally", sequence)
            writeNumberField("staff", termSeen)
            writeNullField("reclaimS")
            writeArrayFieldStart("pieces")
            for (task in tasks.values) {
                writeStartObject()
                writeStringField("piece", task.id)
                writeNumberField("sowing", task.attempt)
                writeStringField("stage", if (++task.heartbeats < HEARTBEATS_UNTIL_ENDED) "running" else "ended")
                if (task.heartbeats >= HEARTBEATS_UNTIL_ENDED) writeStringField("cause", "done")
                writeEndObject()
            }
            writeEndArray()
        }
    }

    companion object {
        const val MACHINE = "m-000001"

        /** The heartbeat of a task, counted from 1, that first reports it as ended. */
        private const val HEARTBEATS_UNTIL_ENDED = 4
    }
}
