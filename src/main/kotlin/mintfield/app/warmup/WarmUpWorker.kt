package mintfield.app.warmup

import mintfield.io.http.HttpMessage
import mintfield.io.http.HttpStatus
import mintfield.io.http.Response
import mintfield.io.json.Json
import mintfield.io.json.asList
import mintfield.io.json.asMap
import mintfield.io.json.long
import mintfield.io.json.string

/** A worker that speaks the protocol and whose tasks end after some heartbeats, enough to drive every step of a job. */
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

    /** Takes the token of a response and carries out its commands. */
    fun execute(answer: Map<String, Any?>) {
        termSeen = maxOf(termSeen, answer.long("staff") ?: 0)
        for (command in answer["orders"].asList().orEmpty().mapNotNull { it.asMap() }) {
            val id = command.string("piece") ?: continue
            if (command.string("verb") == "run") tasks[id] = Task(id, command.long("sowing") ?: 0) else tasks.remove(id)
        }
    }

    /** Answers a direct command. */
    fun commands(request: HttpMessage): Response {
        execute(Json.parseObject(request.body).orEmpty())
        return Response(HttpStatus.OK, heartbeat(0))
    }

    /** The next heartbeat; [port] is that of its own address. */
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
                writeStringField("stage", if (++task.heartbeats < ENDS_AFTER) "running" else "ended")
                if (task.heartbeats >= ENDS_AFTER) writeStringField("cause", "done")
                writeEndObject()
            }
            writeEndArray()
        }
    }

    companion object {
        const val MACHINE = "m-000001"

        /** Heartbeats of a task until it has ended. */
        private const val ENDS_AFTER = 4
    }
}
