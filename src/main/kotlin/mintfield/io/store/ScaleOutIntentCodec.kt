package mintfield.io.store

import mintfield.core.ScaleOutIntent
import mintfield.io.json.Json
import mintfield.io.json.bool
import mintfield.io.json.long
import mintfield.io.json.string

/** The record of an intent to scale out, written before the cloud is asked. */
object ScaleOutIntentCodec {
    private const val TYPE = "type"
    private const val ZONE = "zone"
    private const val SPOT = "spot"

    /** How many machines are wanted. */
    private const val NUMBER = "number"

    /** The record of [intent], as JSON. Its idempotency key is the key of the record. */
    fun encode(intent: ScaleOutIntent): ByteArray =
        Json.obj {
            writeStringField(TYPE, intent.type)
            writeStringField(ZONE, intent.zone)
            writeBooleanField(SPOT, intent.spot)
            writeNumberField(NUMBER, intent.number)
        }

    /** The intent that [data], the record of [idempotencyKey], holds. What is missing has a default, since the key alone is of use. */
    fun decode(
        idempotencyKey: String,
        data: Map<String, Any?>,
    ) = ScaleOutIntent(
        idempotencyKey = idempotencyKey,
        type = data.string(TYPE) ?: "",
        zone = data.string(ZONE) ?: "",
        spot = data.bool(SPOT) ?: false,
        number = data.long(NUMBER)?.toInt() ?: 1,
    )
}
