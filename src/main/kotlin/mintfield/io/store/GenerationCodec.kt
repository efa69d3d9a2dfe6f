package mintfield.io.store

import mintfield.io.json.Json
import mintfield.io.json.long

/** Codec of the stored record of the generation that a controller runs (see [mintfield.core.upgrade.Generation]). */
object GenerationCodec {
    private const val GENERATION = "generation"

    /** Encodes [generation] as JSON. */
    fun encode(generation: Int): ByteArray = Json.obj { writeNumberField(GENERATION, generation) }

    /** The generation that [data] records. */
    fun decode(data: Map<String, Any?>): Decoded<Long> = decoding { data.long(GENERATION).orInvalid(GENERATION, "a number") }
}
