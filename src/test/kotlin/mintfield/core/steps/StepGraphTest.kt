package mintfield.core.steps

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

/** The rule for recorded steps, on graphs small enough to check by hand. */
class StepGraphTest {
    private fun graph(vararg steps: Step) = StepGraph(steps.toList(), "end")

    private fun read(
        name: String,
        vararg feeds: String,
    ) = Step(name, writes = false, feeds = feeds.toList())

    private fun write(
        name: String,
        vararg feeds: String,
    ) = Step(name, writes = true, feeds = feeds.toList())

    @Test
    fun `a read-only step that reaches one recorded step is not recorded`() {
        assertEquals(setOf("w"), graph(read("r", "w"), write("w", "end"), read("end")).recorded())
    }

    @Test
    fun `a read-only step that reaches two recorded steps is recorded`() {
        val g = graph(read("r", "w1", "w2"), write("w1", "end"), write("w2", "end"), read("end"))
        assertEquals(setOf("r", "w1", "w2"), g.recorded())
    }

    @Test
    fun `a read-only step that reaches one recorded step and the final one is recorded`() {
        assertEquals(setOf("r", "w"), graph(read("r", "w", "end"), write("w", "end"), read("end")).recorded())
    }

    @Test
    fun `the search stops at a recorded step`() {
        val g = graph(read("r", "w1"), write("w1", "w2", "end"), write("w2", "end"), read("end"))
        assertEquals(setOf("w1", "w2"), g.recorded())
    }

    @Test
    fun `a recorded read-only step stops the search of those before it`() {
        val g = graph(read("a", "b"), read("b", "w1", "w2"), write("w1", "end"), write("w2", "end"), read("end"))
        assertEquals(setOf("b", "w1", "w2"), g.recorded())
    }

    @Test
    fun `paths that join before the final step count once`() {
        assertEquals(emptySet<String>(), graph(read("a", "b", "c"), read("b", "end"), read("c", "end"), read("end")).recorded())
    }

    @Test
    fun `a cycle is refused`() {
        assertThrows(IllegalArgumentException::class.java) { graph(read("a", "b"), read("b", "a"), read("end")) }
    }

    @Test
    fun `of the job's read-only steps the compatible types are recorded and the fleet view is not`() {
        assertEquals(
            setOf(JobSteps.INTAKE, JobSteps.COMPATIBLE_TYPES, JobSteps.PREDECESSORS, JobSteps.SCALE_OUT, JobSteps.PLAN, JobSteps.DONE_SET, JobSteps.FINISH),
            JobSteps.recorded,
        )
    }
}
