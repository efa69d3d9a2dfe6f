package mintfield.app.cli

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** The description of many machine names as a few ranges. */
class MachineRangesTest {
    @Test
    fun `describes machines with successive numbers as ranges`() {
        val names = (1..40).map { "m-%06d".format(it) } + listOf("m-000042", "m-7", "spare", "m-000044", "m-000043")
        assertEquals(listOf("m-7", "m-000001..000040", "m-000042..000044", "spare"), MachineRanges(names).describe())
    }
}
