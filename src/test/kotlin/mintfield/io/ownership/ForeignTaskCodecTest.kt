package mintfield.io.ownership

import mintfield.Fixtures
import mintfield.core.ownership.ForeignTaskQuery
import mintfield.core.ownership.ForeignTaskRef
import mintfield.core.ownership.ForeignTaskResponse
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

/** Encoding and decoding of the messages about foreign tasks that controllers send to each other. */
class ForeignTaskCodecTest {
    @Test
    fun `decodes the queries and responses that it encoded`() {
        val task = Fixtures.task("wk-1/3", 7, mintfield.core.model.TaskState.ENDED, mintfield.core.model.ExitReason.DONE)
        val queries = listOf(ForeignTaskQuery("m-1", listOf(ForeignTaskRef(task.task, 7, ForeignTaskRef.Action.STOP))), ForeignTaskQuery("m-2", emptyList()))
        assertEquals(ShardQueries("a", queries), ForeignTaskCodec.decodeQueries(ForeignTaskCodec.encodeQueries("a", queries)))
        val responses = listOf(ForeignTaskResponse.Status(listOf(task)), ForeignTaskResponse.NoHeartbeatYet, ForeignTaskResponse.NotOwner)
        assertEquals(responses, ForeignTaskCodec.decodeResponses(ForeignTaskCodec.encodeResponses(responses)))
        assertNull(ForeignTaskCodec.decodeResponses(byteArrayOf(9, 9)))
    }
}
