package mintfield.io.worker

import com.fasterxml.jackson.core.JsonGenerator
import mintfield.core.model.JobSpec
import mintfield.core.model.Priority
import mintfield.core.model.Shape
import mintfield.io.json.Json
import mintfield.io.json.asList
import mintfield.io.json.asMap

/** A job's description between the wire's words and the field's terms. */
object JobCodec {
    sealed interface Parsed {
        data class Valid(
            val spec: JobSpec,
        ) : Parsed

        /** [id] is given if at least that could be read, since a known job is known whatever else is wrong. */
        data class Invalid(
            val id: String?,
            val reason: String,
        ) : Parsed
    }

    private class Bad(
        reason: String,
    ) : Exception(reason, null, false, false)

    private const val PREDECESSORS = "awaits"
    private const val MAX_TASKS = 100_000
    private const val MAX_ID = 64
    private const val MAX_NAME = 200
    private const val MAX_AMOUNT = 1e9

    /** Job ids: letters, a dash, digits, as in `wk-000412`. */
    fun isId(text: String): Boolean {
        val dash = text.indexOf('-')
        return dash in 1 until text.length - 1 &&
            text.length <= MAX_ID &&
            text.substring(0, dash).all { it in 'a'..'z' } &&
            text.substring(dash + 1).all { it in '0'..'9' }
    }

    fun parse(tree: Any?): Parsed {
        val map = tree.asMap() ?: return Parsed.Invalid(null, "the body is not a JSON object")
        val id = (map["id"] as? String)?.takeIf { isId(it) } ?: return Parsed.Invalid(null, "id: expected a job id such as wk-000412")
        return try {
            Parsed.Valid(spec(id, map))
        } catch (bad: Bad) {
            Parsed.Invalid(id, bad.message ?: "invalid")
        }
    }

    private fun spec(
        id: String,
        map: Map<String, Any?>,
    ) = JobSpec(
        id = id,
        jobClass = name(map, "bench"),
        team = name(map, "crew"),
        shape =
            when (map["shape"]) {
                "sweep" -> Shape.ARRAY
                "standing" -> Shape.SERVICE
                "ensemble" -> Shape.GANG
                else -> throw Bad("shape: expected sweep, ensemble or standing")
            },
        priority =
            when (map["urgency"]) {
                "production" -> Priority.PRODUCTION
                "high" -> Priority.HIGH
                "normal" -> Priority.NORMAL
                "idle" -> Priority.IDLE
                else -> throw Bad("urgency: expected production, high, normal or idle")
            },
        tasks = pieces(map),
        cpus = amount(map, "vcpus"),
        gpus = amount(map, "cards"),
        memoryGb = amount(map, "memoryGb"),
        image = name(map, "seedbag"),
        imageGb = amount(map, "sizeGb"),
        types = names(map, "breeds"),
        zone = map["field"]?.let { name(map, "field") },
        oneZone = flag(map, "samePlace"),
        spread = flag(map, "spread"),
        spot = flag(map, "gleaning"),
        estimateS = amount(map, "growS"),
        checkpointS = amount(map, "harvestS"),
        saveS = amount(map, "baleS"),
        deadlineS = map["dueS"]?.let { amount(map, "dueS") },
        predecessors = predecessors(map),
    )

    private fun pieces(map: Map<String, Any?>): Int {
        val n = (map["pieces"] as? Long) ?: throw Bad("pieces: expected an integer")
        if (n !in 1..MAX_TASKS) throw Bad("pieces: expected 1 to $MAX_TASKS")
        return n.toInt()
    }

    private fun name(
        map: Map<String, Any?>,
        field: String,
    ): String {
        val text = map[field] as? String ?: throw Bad("$field: expected a string")
        if (text.isEmpty() || text.length > MAX_NAME) throw Bad("$field: expected 1 to $MAX_NAME characters")
        return text
    }

    private fun amount(
        map: Map<String, Any?>,
        field: String,
    ): Double {
        val value = Json.asDouble(map[field]) ?: throw Bad("$field: expected a number")
        if (value < 0 || value > MAX_AMOUNT) throw Bad("$field: expected 0 or more")
        return value
    }

    private fun flag(
        map: Map<String, Any?>,
        field: String,
    ): Boolean = map[field] as? Boolean ?: throw Bad("$field: expected true or false")

    private fun names(
        map: Map<String, Any?>,
        field: String,
    ): List<String>? {
        val value = map[field] ?: return null
        val list = value.asList() ?: throw Bad("$field: expected a list or null")
        return list.map { (it as? String)?.takeIf { s -> s.isNotEmpty() && s.length <= MAX_NAME } ?: throw Bad("$field: expected names") }
    }

    /** Names that are no job ids are kept: such a job was never accepted, which is for the submission to say. */
    private fun predecessors(map: Map<String, Any?>): List<String> {
        val value = map[PREDECESSORS] ?: return emptyList()
        val list = value.asList() ?: throw Bad("$PREDECESSORS: expected a list or null")
        return list.map { it as? String ?: throw Bad("$PREDECESSORS: expected job ids") }.distinct()
    }

    fun write(
        g: JsonGenerator,
        s: JobSpec,
    ) {
        g.writeStartObject()
        g.writeStringField("id", s.id)
        g.writeStringField("bench", s.jobClass)
        g.writeStringField("crew", s.team)
        g.writeStringField(
            "shape",
            when (s.shape) {
                Shape.ARRAY -> "sweep"
                Shape.GANG -> "ensemble"
                Shape.SERVICE -> "standing"
            },
        )
        g.writeStringField("urgency", s.priority.name.lowercase())
        g.writeNumberField("pieces", s.tasks)
        g.writeNumberField("vcpus", s.cpus)
        g.writeNumberField("cards", s.gpus)
        g.writeNumberField("memoryGb", s.memoryGb)
        g.writeStringField("seedbag", s.image)
        g.writeNumberField("sizeGb", s.imageGb)
        s.types?.let { list ->
            g.writeArrayFieldStart("breeds")
            list.forEach { g.writeString(it) }
            g.writeEndArray()
        }
        s.zone?.let { g.writeStringField("field", it) }
        g.writeBooleanField("samePlace", s.oneZone)
        g.writeBooleanField("spread", s.spread)
        g.writeBooleanField("gleaning", s.spot)
        g.writeNumberField("growS", s.estimateS)
        g.writeNumberField("harvestS", s.checkpointS)
        g.writeNumberField("baleS", s.saveS)
        s.deadlineS?.let { g.writeNumberField("dueS", it) }
        if (s.predecessors.isNotEmpty()) {
            g.writeArrayFieldStart(PREDECESSORS)
            s.predecessors.forEach { g.writeString(it) }
            g.writeEndArray()
        }
        g.writeEndObject()
    }
}
