package mintfield.app.cli

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** The invocations that result from command-line arguments. */
class ArgumentParserTest {
    private val files = SettingsFiles("s.toml", "o.hcl")

    private fun parse(line: String) = ArgumentParser.parse(line.split(' ').filter { it.isNotEmpty() }.toTypedArray())

    private fun machines(words: String) = parse("machines --config s.toml --operator o.hcl $words")

    @Test
    fun `no command runs a controller, which requires the platform's settings file`() {
        assertEquals(Invocation.Serve(files), parse("--config s.toml --operator o.hcl"))
        assertEquals(Invocation.Unusable("expected --config FILE; see --help"), parse(""))
        assertEquals(Invocation.Unusable("unknown command what; see --help"), parse("what"))
        assertEquals(Invocation.Help, parse("--help --version what"))
    }

    @Test
    fun `check and pipeline take one argument`() {
        assertEquals(Invocation.Check("s.toml"), parse("check s.toml"))
        assertEquals(Invocation.Unusable("check expects one FILE"), parse("check"))
        assertEquals(Invocation.Pipeline(SettingsFiles("s.toml", operator = null), "wk-1"), parse("pipeline wk-1 --config s.toml --operator o.hcl"))
        assertEquals(Invocation.Unusable("pipeline expects one JOB"), parse("pipeline a b"))
    }

    @Test
    fun `machines accepts each request with exactly its arguments`() {
        assertEquals(Invocation.Machines(files, json = true, MachinesRequest.ShowAll), machines("show --json"))
        val requests =
            mapOf(
                "show" to MachinesRequest.ShowAll,
                "show s1" to MachinesRequest.ShowShard("s1"),
                "move m-1 s1" to MachinesRequest.Move(machine = "m-1", target = "s1"),
                "cancel m-1" to MachinesRequest.Cancel("m-1"),
                "drain plot-1" to MachinesRequest.Drain("plot-1"),
                "resume plot-1" to MachinesRequest.Resume("plot-1"),
                "unshare" to MachinesRequest.EndSharding,
            )
        for ((words, request) in requests) assertEquals(Invocation.Machines(files, json = false, request), machines(words))
        for (words in listOf("", "show a b", "move m-1", "move m-1 s1 s2", "cancel", "drain", "resume a b", "unshare x", "other")) {
            assertEquals(Invocation.Machines(files, json = false, request = null), machines(words), words)
        }
    }
}
