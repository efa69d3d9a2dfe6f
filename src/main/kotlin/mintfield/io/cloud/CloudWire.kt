package mintfield.io.cloud

import mintfield.core.ScaleOutIntent
import mintfield.core.fleet.ListedMachine
import mintfield.core.fleet.MachineStage
import mintfield.core.model.MachineType
import mintfield.io.http.HttpResult
import mintfield.io.json.Json
import mintfield.io.json.asList
import mintfield.io.json.asMap
import mintfield.io.json.bool
import mintfield.io.json.double
import mintfield.io.json.string

/** Encodes request bodies and decodes response bodies of the cloud's protocol. Missing optional fields of a response get default values. */
internal object CloudWire {
    private const val TYPES = "breeds"
    private const val TYPE_NAME = "sku"
    private const val CPUS = "vcpus"
    private const val GPUS = "cards"
    private const val MEMORY_GB = "memoryGb"
    private const val CACHE_GB = "cacheGb"
    private const val FETCH_GB_PER_S = "fetchGbPerS"
    private const val PRICE = "price"
    private const val SPOT_PRICE = "lowPrice"
    private const val BOOT_S = "bootS"
    private const val ZONES = "fields"

    private const val IDEMPOTENCY_KEY = "plea"
    private const val TYPE = "breed"
    private const val ZONE = "field"
    private const val SPOT = "gleaning"
    private const val NUMBER = "number"

    private const val MACHINES = "plots"
    private const val MACHINE = "id"
    private const val STAGE = "stage"
    private const val STAGE_STARTING = "starting"
    private const val STAGE_RUNNING = "running"
    private const val STAGE_FAILED = "failed"

    /** Time since the machine was requested, in seconds. */
    private const val HELD_S = "heldS"
    private const val HAS_NEXT = "hasNext"
    private const val ERROR = "error"
    private const val ERROR_NO_CAPACITY = "no capacity"

    private const val DEFAULT_FETCH_GB_PER_S = 1.0
    private const val DEFAULT_BOOT_S = 60.0

    /** The machine types in a response, without those that lack a name, CPUs or memory. */
    fun types(response: HttpResult.Received): List<MachineType> =
        response.json[TYPES]
            .asList()
            .orEmpty()
            .mapNotNull { item -> item.asMap()?.let(::type) }

    private fun type(json: Map<String, Any?>): MachineType? {
        val name = json.string(TYPE_NAME)
        val cpus = json.double(CPUS)
        val memoryGb = json.double(MEMORY_GB)
        if (name == null || cpus == null || memoryGb == null) return null
        return MachineType(
            name = name,
            cpus = cpus,
            gpus = json.double(GPUS) ?: 0.0,
            memoryGb = memoryGb,
            cacheGb = json.double(CACHE_GB) ?: 0.0,
            fetchGbPerS = json.double(FETCH_GB_PER_S) ?: DEFAULT_FETCH_GB_PER_S,
            price = json.double(PRICE) ?: 0.0,
            spotPrice = json.double(SPOT_PRICE) ?: 0.0,
            bootS = json.double(BOOT_S) ?: DEFAULT_BOOT_S,
            zones = names(json[ZONES]),
        )
    }

    private fun names(value: Any?): List<String> = value.asList().orEmpty().filterIsInstance<String>()

    /** The body of a request to provision the machines of [intent]. */
    fun provision(intent: ScaleOutIntent): ByteArray =
        Json.obj {
            writeStringField(IDEMPOTENCY_KEY, intent.idempotencyKey)
            writeStringField(TYPE, intent.type)
            writeStringField(ZONE, intent.zone)
            writeBooleanField(SPOT, intent.spot)
            writeNumberField(NUMBER, intent.number)
        }

    /** The body of a request to release [machines]. */
    fun release(machines: List<String>): ByteArray =
        Json.obj {
            writeArrayFieldStart(MACHINES)
            machines.forEach { writeString(it) }
            writeEndArray()
        }

    /** The names of the machines in a response. */
    fun machines(response: HttpResult.Received): List<String> = names(response.json[MACHINES])

    /** The page of the list of machines in a response. */
    fun page(response: HttpResult.Received): MachinePage {
        val machines = response.json[MACHINES].asList().orEmpty()
        return MachinePage(machines.mapNotNull { item -> item.asMap()?.let(::listed) }, hasNext = response.json[HAS_NEXT] == true)
    }

    private fun listed(json: Map<String, Any?>): ListedMachine? {
        val id = json.string(MACHINE) ?: return null
        return ListedMachine(
            id = id,
            type = json.string(TYPE) ?: "",
            zone = json.string(ZONE) ?: "",
            spot = json.bool(SPOT) ?: false,
            stage = stageOf(json.string(STAGE)),
            ageS = json.double(HELD_S) ?: 0.0,
        )
    }

    private fun stageOf(name: String?): MachineStage =
        when (name) {
            STAGE_STARTING -> MachineStage.BOOTING
            STAGE_RUNNING -> MachineStage.RUNNING
            STAGE_FAILED -> MachineStage.FAILED
            else -> MachineStage.UNKNOWN
        }

    /** Whether a response reports a lack of capacity. */
    fun reportsNoCapacity(response: HttpResult.Received): Boolean = response.json.string(ERROR) == ERROR_NO_CAPACITY
}
