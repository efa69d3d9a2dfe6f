package mintfield.core.jobs

import mintfield.core.model.FinalState
import mintfield.core.model.JobPhase
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class FinalStatesTest {
    @Test
    fun `the least recently used state is evicted when the capacity is exceeded`() {
        val states = FinalStates(2)
        val done = FinalState(JobPhase.DONE, 1)
        states["wk-1"] = done
        states["wk-2"] = done
        states["wk-1"]
        states["wk-3"] = done
        assertEquals(done, states["wk-1"])
        assertNull(states["wk-2"])
        assertEquals(done, states["wk-3"])
    }
}
