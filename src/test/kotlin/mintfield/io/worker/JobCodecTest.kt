package mintfield.io.worker

import mintfield.Fixtures
import mintfield.io.json.Json
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Parsing of submitted jobs. */
class JobCodecTest {
    @Test
    fun `the reason for an invalid job names the field, and a valid id is kept`() {
        val good = String(Json.write { JobCodec.write(it, Fixtures.spec("wk-000001")) })
        assertTrue(JobCodec.parse(Json.parse(good.toByteArray())) is JobCodec.Parsed.Valid)
        val cases =
            mapOf(
                "\"pieces\":1" to "\"pieces\":0",
                "\"pieces\":1" to "\"pieces\":100001",
                "\"pieces\":1" to "\"pieces\":1.5",
                "\"shape\":\"sweep\"" to "\"shape\":\"heap\"",
                "\"urgency\":\"normal\"" to "\"urgency\":7",
                "\"vcpus\":1.0" to "\"vcpus\":-1",
                "\"memoryGb\":1.0" to "\"memoryGb\":\"1\"",
                "\"samePlace\":false" to "\"samePlace\":null",
                "\"seedbag\":\"img-1\"" to "\"seedbag\":\"\"",
            )
        for ((from, to) in cases) {
            val bad = JobCodec.parse(Json.parse(good.replace(from, to).toByteArray()))
            assertTrue(bad is JobCodec.Parsed.Invalid, to)
            assertEquals("wk-000001", (bad as JobCodec.Parsed.Invalid).id, to)
            assertTrue(bad.reason.startsWith(to.substring(1).substringBefore('"')), "$to: ${bad.reason}")
        }
        for (id in listOf("wk-", "-1", "WK-1", "wk-1x", "wk/1", "")) assertFalse(JobCodec.isId(id), id)
    }
}
