package mintfield.io.store

import mintfield.core.ScaleOutIntent
import mintfield.io.json.Json
import mintfield.io.json.bool
import mintfield.io.json.long
import mintfield.io.json.string

/** Codec of the stored record of an intent to scale out, which is written before the machines are requested from the cloud. */
object ScaleOutIntentCodec {
    private const val TYPE = "type"
    private const val ZONE = "zone"
    private const val SPOT = "spot"

    /** The number of machines to request. */
    private const val NUMBER = "number"

    /** Encodes [intent] as JSON. The idempotency key is the key of the record and not part of the value. */
    fun encode(intent: ScaleOutIntent): ByteArray =
        Json.obj {
            writeStringField(TYPE, intent.type)
            writeStringField(ZONE, intent.zone)
            writeBooleanField(SPOT, intent.spot)
            writeNumberField(NUMBER, intent.number)
        }

    /** Decodes [data], the value of the record [idempotencyKey]. Missing fields get default values, since the intent is of use by its key alone. */
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
