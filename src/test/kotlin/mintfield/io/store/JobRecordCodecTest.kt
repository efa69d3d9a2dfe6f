package mintfield.io.store

import mintfield.Fixtures
import mintfield.io.json.Json
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Encoding and decoding of the records of accepted jobs. */
class JobRecordCodecTest {
    @Test
    fun `decodes the job that it encoded`() {
        val job = Fixtures.accepted(Fixtures.spec("wk-000001", tasks = 7, zone = "north", deadlineS = 90.0), 5, 1_234)
        assertEquals(job, JobRecordCodec.decode(Json.parseObject(JobRecordCodec.encode(job))!!, 5) { emptyList() }.valueOrNull)
    }

    @Test
    fun `the result for an invalid record names the field and the problem`() {
        val record = Json.parseObject(JobRecordCodec.encode(Fixtures.accepted(Fixtures.spec("wk-000001"), 5, 1_234)))!!

        fun decode(data: Map<String, Any?>) = JobRecordCodec.decode(data, 5) { emptyList() }
        assertEquals(Decoded.Invalid("dependent", "the body is not a JSON object"), decode(record - "spec"))
        val dependent = record - "spec" + ("dependent" to record["spec"])
        assertEquals(Decoded.Invalid("awaits", "expected an object"), decode(dependent))
        assertEquals(Decoded.Invalid("wk-6", "expected numbers in base 36"), decode(dependent + ("awaits" to mapOf("wk-6" to "?"))))
    }
}
