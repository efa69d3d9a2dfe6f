package mintfield.io.worker

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertSame
import org.junit.jupiter.api.Test

/** Decoding of heartbeats with the cache of task lists. */
class HeartbeatCodecTest {
    @Test
    fun `an unchanged task list is not parsed again, but the fields after it are`() {
        val reader = HeartbeatReader(100)

        fun heartbeat(
            sequence: Int,
            tasks: String,
            more: String = "",
        ) = reader.read("""{"plot":"m-1","season":1,"tally":$sequence,"pieces":[$tasks]$more}""".toByteArray())!!
        val task = """{"piece":"wk-1/0","sowing":2,"stage":"running"}"""
        val first = heartbeat(1, task)
        assertSame(first.tasks, heartbeat(2, task).tasks)
        assertEquals(3L, heartbeat(3, task).sequence)
        assertEquals(0, heartbeat(4, "").tasks.size)
        val noticed = heartbeat(5, task, ""","staff":9,"reclaimS":4.5""")
        assertEquals(4.5, noticed.terminationNoticeS)
        assertEquals(9L, noticed.termSeen)
        assertEquals(first.tasks, noticed.tasks)
        assertEquals(null, heartbeat(6, task).terminationNoticeS)
    }
}
